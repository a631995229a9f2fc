#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/admission/RunAdmission.h"
#include "foxtailring/decisions/admission/RunClaim.h"
#include "foxtailring/decisions/servers/ServerProbeResult.h"

#include <optional>
#include <string>
#include <string_view>

namespace foxtailring {

struct ForwardContext;
struct ForwardRequest;
struct HttpRoute;
struct SendAttempt;

/// \brief The way of one new run to an engine: whether an engine has room for it, how long it waits
/// for room, and when its caller may return.
class RunEntry
{
public:
    /// \param service may change; it and the others must outlive the object
    RunEntry(const ForwardContext &context, const HttpRoute &route, const ForwardRequest &request,
             const std::string &service);

    /// \brief Whether the engine that sent the report has room for the run.
    bool hasRoom(const ServerProbeResult &report, TimePoint now);
    /// \brief No engine that was asked has room: starts the wait, or goes on with it. False: the
    /// run is to be refused.
    bool wait(TimePoint now);
    /// \brief True if the latest wait() began a wait.
    bool isWaitNew() const { return m_looks == 1; }
    bool isWaiting() const { return m_lookAt != TimePoint::max(); }
    /// \brief When to look for room again; never if the run does not wait.
    TimePoint nextLook() const { return m_lookAt; }
    void endWait() { m_lookAt = TimePoint::max(); }
    /// \brief The run is refused. Returns the time after which its caller should return.
    Duration refuse(TimePoint now);
    /// \brief The run is sent: completes \a attempt.
    /// \param isBegun its caller has got a part of the answer
    void recordSent(SendAttempt &attempt, bool isBegun, TimePoint now);
    /// \brief The run's first event arrived this time after it was sent.
    void recordFirstEvent(Duration delay);

private:
    void arrive(TimePoint now);
    /// A look for room begins.
    void startLook(TimePoint now);
    void report(Duration returnAfter, TimePoint now);

    const ForwardContext &m_context;
    const HttpRoute &m_route;
    const ForwardRequest &m_request;
    const std::string &m_service;
    std::optional<RunClaim> m_claim; ///< none: not asked for room yet
    TimePoint m_lookAt = TimePoint::max();
    std::uint32_t m_looks = 0;         ///< that found no room
    std::uint32_t m_withoutMemory = 0; ///< engines since the latest report()
    std::uint32_t m_withPromptsAhead = 0;
    std::uint32_t m_leftToOthers = 0;
    bool m_usesRoom = true;           ///< in this look
    bool m_hasFound = false;          ///< room, in this look
    std::uint32_t m_promptsAhead = 0; ///< at the engine that the run was sent to
};

} // namespace foxtailring
