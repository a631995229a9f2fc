#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/generation/FenceTable.h"
#include "foxtailring/sidecar/SidecarContext.h"
#include "foxtailring/transport/Timer.h"

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace foxtailring {

class EngineProbe;
class Generation;
class Http2Stream;
class Journal;
class MessageStream;
struct AttemptId;
struct Attach;
struct Frame;
struct StartAttempt;

/// \brief Serves `/generation/start` and `/generation/attach`. Thread-safe.
class GenerationService : public std::enable_shared_from_this<GenerationService>
{
public:
    explicit GenerationService(const SidecarContext &context);
    ~GenerationService();
    GenerationService(const GenerationService &) = delete;
    GenerationService &operator=(const GenerationService &) = delete;

    void start();
    void stop();

    void openStart(const std::shared_ptr<Http2Stream> &stream);
    void openAttach(const std::shared_ptr<Http2Stream> &stream);

    /// \brief Answers that an entry has not taken over in full; see Journal::unacknowledgedCount().
    std::size_t unacknowledged() const;

private:
    using Generations = std::vector<std::shared_ptr<Generation>>;
    using Stream = std::shared_ptr<MessageStream>;

    void takeStart(const Stream &stream, const Frame &frame);
    Result<std::shared_ptr<Generation>> admit(const StartAttempt &start);
    Result<Done> check(const StartAttempt &start) const;
    Result<std::shared_ptr<Generation>> insert(const StartAttempt &start,
                                               const std::shared_ptr<Generation> &generation);
    void takeAttach(const Stream &stream, const Frame &frame);
    Result<std::shared_ptr<Generation>> find(const Attach &attach);
    void accept(const Stream &stream, const AttemptId &id);
    void refuse(const Stream &stream, const AttemptId &id, const Error &error);
    void tick();
    void probe(const Generations &present);
    void probed(TimePoint sentAt, const Result<Done> &result);
    void sweep();
    void publishCounts() const;
    Generations all() const;

    const SidecarContext m_context;
    const std::shared_ptr<Journal> m_journal;
    const std::shared_ptr<EngineProbe> m_probe;
    Timer m_tickTimer;
    Timer m_sweepTimer;

    mutable std::mutex m_mutex; // the generation table's lock; guards all below
    FenceTable m_fences;
    std::map<std::string, std::shared_ptr<Generation>> m_latest; ///< by request
};

} // namespace foxtailring
