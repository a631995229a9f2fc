#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/Result.h"
#include "foxtailring/sidecar/ClaimStore.h"
#include "foxtailring/sidecar/SidecarSettings.h"
#include "foxtailring/sidecar/Span.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace foxtailring {

class MetricRegistry;
class WorkerPool;

/// \brief One sidecar: inner HTTP/2 server, admin server, and what they serve.
class Sidecar
{
public:
    struct Hooks
    {
        ClaimStore claimStore;           ///< not set: over the platform of the settings
        SpanExporter exportSpan;         ///< may be empty
        std::function<void()> onDrained; ///< runs once, on a worker thread; may be empty
    };

    /// \param pool outlives the sidecar
    /// \param incarnation unique to this start; higher than that of every earlier one
    Sidecar(WorkerPool &pool, const SidecarSettings &settings, std::uint64_t incarnation,
            Hooks hooks);
    /// \brief Calls stop().
    ~Sidecar();
    Sidecar(const Sidecar &) = delete;
    Sidecar &operator=(const Sidecar &) = delete;

    /// \brief Listens. Unavailable when an address is taken.
    Result<Done> start();
    std::uint16_t port() const;
    std::uint16_t adminPort() const;

    /// \brief Refuses new work from now on and tells every entry; work in progress goes on.
    void drain();
    /// \brief Closes everything at once.
    void stop();

    MetricRegistry &metrics();

private:
    struct State;
    const std::shared_ptr<State> m_state;
};

} // namespace foxtailring
