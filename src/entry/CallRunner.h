#pragma once

#include "foxtailring/base/Error.h"
#include "foxtailring/protocol/CallResult.h"
#include "foxtailring/transport/Timer.h"

#include "CallJob.h"
#include "foxtailring/transport/SerialQueue.h"
#include "LinkStream.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace foxtailring {

class AdmissionPass;
class Http1Responder;
class SidecarLink;
struct EntryParts;
struct Frame;

/// \brief Makes one call of a plain service, at one server after the other where that is safe.
///
/// Idempotent calls go to another server after "not run" and "unknown". Others go on only after
/// "not run". Those with a key follow the rank of its home servers, also after a home that has
/// claimed nothing.
class CallRunner : public std::enable_shared_from_this<CallRunner>
{
public:
    CallRunner(EntryParts &parts, CallJob job, std::shared_ptr<Http1Responder> responder,
               std::string traceparent);
    ~CallRunner();

    void start(std::shared_ptr<AdmissionPass> pass);

private:
    void callNext();
    /// \brief Sets m_address and m_serverId; false when no server is left.
    bool chooseServer();
    void callServer();
    void callOn(LinkStream opened);
    void frameArrived(std::uint64_t stream, const Frame &frame);
    void streamClosed(std::uint64_t stream, const Error &error);
    void takeResult(CallResult result);
    void goOn(CallResult result);
    bool askHomeAgain(const CallResult &result);
    static bool mayAskNextHome(const CallResult &result);
    bool mayRetry(TimePoint now);
    void tick();
    void callerGone();
    void respond(CallResult result);
    void fail();
    void refuse(const std::string &message);
    void leaveServer();
    void end();

    EntryParts &m_parts;
    const CallJob m_job;
    std::shared_ptr<Http1Responder> m_responder;
    const std::string m_traceparent;
    SerialQueue m_queue;
    Timer m_timer;

    // On the queue.
    std::shared_ptr<AdmissionPass> m_pass;
    std::shared_ptr<SidecarLink> m_link;
    LinkStream m_stream;
    std::uint64_t m_streamNumber = 0; ///< of m_stream; hooks of earlier streams are ignored
    std::string m_address;            ///< of the server asked last
    std::string m_serverId;           ///< of the server asked last
    std::string m_countedId;          ///< of the server that the work is counted at; empty: none
    std::set<std::string> m_tried;    ///< addresses
    CallResult m_failure;             ///< of the server asked last
    bool m_serverLeaves = false;      ///< the server asked last, when the call has a key
    bool m_mayHaveRun = false;
    bool m_askedAgain = false;
    bool m_ended = false;
};

} // namespace foxtailring
