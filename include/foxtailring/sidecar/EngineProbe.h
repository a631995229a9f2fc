#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/Result.h"
#include "foxtailring/sidecar/SidecarContext.h"

#include <atomic>
#include <functional>
#include <memory>

namespace foxtailring {

/// \brief Asks the engine's `/health`, one probe at a time. Thread-safe.
class EngineProbe : public std::enable_shared_from_this<EngineProbe>
{
public:
    /// \brief Gets when the probe was sent, and ok when the engine answered it with any status.
    using Hook = std::function<void(TimePoint sentAt, const Result<Done> &)>;

    explicit EngineProbe(const SidecarContext &context);

    /// \brief Does nothing while a probe is under way.
    ///
    /// EngineSilent: no answer within the probe's time limit. EngineFailed: the engine accepts no
    /// connection, or cut it twice.
    void ask(Hook hook);

private:
    void send(TimePoint sentAt, bool mayRepeat, Hook hook);

    const SidecarContext m_context;
    std::atomic<bool> m_pending = false;
};

} // namespace foxtailring
