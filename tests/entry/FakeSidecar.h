#pragma once

#include "foxtailring/protocol/Ack.h"
#include "foxtailring/protocol/Attach.h"
#include "foxtailring/protocol/Call.h"
#include "foxtailring/protocol/CallResult.h"
#include "foxtailring/protocol/Cancel.h"
#include "foxtailring/protocol/FrameReader.h"
#include "foxtailring/protocol/GenerationRecord.h"
#include "foxtailring/protocol/StartAttempt.h"
#include "foxtailring/transport/Http2Server.h"
#include "foxtailring/transport/Http2Stream.h"
#include "foxtailring/transport/Timer.h"
#include "foxtailring/transport/WorkerPool.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace foxtailring::test {

/// \brief A sidecar in the test's process whose faults are set by the test.
///
/// Token texts are `<tag>.<index> `; the tag is that of the prefix, or new for each attempt.
class FakeSidecar
{
public:
    using CallHook = std::function<std::optional<CallResult>(const Call &)>;

    /// Cut: silent until cutStreams().
    enum class Fault { None, Refuse, Fail, Cut, Silent };

    struct Script
    {
        Fault fault = Fault::None;
        std::uint64_t faultAt = 0;      ///< tokens sent before the fault
        bool journalGone = false;       ///< attaches are refused
        bool silentAttach = false;      ///< attaches get no answer
        std::uint64_t failAttachAt = 0; ///< the journal ends there in a failure; 0: it does not
    };

    FakeSidecar(std::string id, std::string service);
    ~FakeSidecar();

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    const std::string &id() const { return m_id; }

    void setScript(Script script);
    /// \brief Answers calls; without it they are done with status 200 and the id as body.
    /// Nothing returned: the stream is reset.
    void setCallHook(CallHook hook);
    /// \brief Resets the streams that wait after Fault::Cut.
    void cutStreams();
    /// \brief Closes the port and every connection, as the death of the process does.
    void die();

    /// \brief Waits until \a done returns true under the lock; false after a generous deadline.
    bool wait(const std::function<bool()> &done);

    // Read under wait(), or when nothing runs any more.
    std::vector<StartAttempt> starts;
    std::vector<Attach> attaches;
    std::vector<Cancel> cancels;
    std::vector<Ack> acks;
    std::vector<Call> calls;
    std::map<std::string, GenerationRecord> records; ///< by key
    std::int64_t configRevision = 0;
    std::int64_t configEpoch = 0;
    std::size_t configUpdates = 0;

private:
    using Stream = std::shared_ptr<Http2Stream>;
    struct Attempt
    {
        StartAttempt start;
        std::vector<Token> tokens; ///< of the whole answer
    };

    void opened(const Stream &stream);
    void received(const Stream &stream, const Frame &frame);
    void started(const Stream &stream, const StartAttempt &start);
    void attached(const Stream &stream, const Attach &attach);
    void called(const Stream &stream, const Call &call);
    void found(const Stream &stream, const Frame &frame);
    void report(const Stream &stream);
    static std::vector<Token> answer(const StartAttempt &start, const std::string &tag);

    const std::string m_id;
    const std::string m_service;
    WorkerPool m_pool;
    std::unique_ptr<Http2Server> m_server;
    std::uint16_t m_port = 0;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    Script m_script;
    CallHook m_callHook;
    std::vector<Stream> m_cut;
    std::map<std::pair<std::string, std::uint32_t>, Attempt> m_attempts;
    std::vector<Stream> m_watchers;
    std::uint64_t m_sequence = 0;
    Timer m_timer;
};

} // namespace foxtailring::test
