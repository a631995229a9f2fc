#include "foxtailring/decisions/sessions/RunCopier.h"

#include "foxtailring/decisions/placement/AdmittedPlacer.h"
#include "foxtailring/decisions/servers/BackendTable.h"
#include "foxtailring/decisions/sessions/ForwardContext.h"
#include "foxtailring/decisions/sessions/RunPlacement.h"
#include "foxtailring/decisions/sessions/RunProgress.h"

#include <utility>

namespace foxtailring {

using std::chrono::milliseconds;

namespace {

// Two round trips between regions: one to connect, one for the answer.
constexpr milliseconds holderProbeTimeout {120};
// Interval of checking the copy and its holder, and delay before a failed snapshot is retried.
constexpr milliseconds checkInterval {400};
constexpr milliseconds retryDelay {1000};
// Time to copy the memory of a long prompt to another zone, after a few other copies.
constexpr milliseconds copyTimeout {1500};

} // namespace

RunCopier::RunCopier(const ForwardContext &context, const RunProgress &progress,
                     const RunPlacement &placement, AdmittedPlacer &admittedPlacer, Methods methods)
    : m_context(context)
    , m_progress(progress)
    , m_placement(placement)
    , m_admittedPlacer(admittedPlacer)
    , m_methods(methods)
    , m_copy(context.servers, context.releaseCopy)
{
}

void RunCopier::start(SendAttempt &attempt, TimePoint now)
{
    m_isProbing = false;
    m_isCopying = false;
    m_checkAt = m_methods.isOnDemand ? now + checkInterval : TimePoint::max();
    m_copy.drop();
    assignHolder(attempt, now);
}

// The copy that the other attempt was resumed from may be used up.
void RunCopier::restart(TimePoint now)
{
    m_isProbing = false;
    m_isCopying = false;
    m_copy.drop();
    m_checkAt = m_methods.isOnDemand ? now : TimePoint::max();
}

void RunCopier::assignHolder(SendAttempt &attempt, TimePoint now)
{
    attempt.copyTo = chooseHolder(attempt.server, now);
    if (attempt.copyTo)
        m_copy.setHolder(*attempt.copyTo);
}

std::optional<BackendState> RunCopier::chooseHolder(const BackendState &runServer,
                                                    TimePoint now) const
{
    if (!m_methods.isContinuous)
        return std::nullopt;
    return m_placement.chooseCopyHolder(runServer, now);
}

// A run may see several failures, and the next one may be that of its own server.
ForwardAction RunCopier::check(const BackendState &runServer, bool mayProbe, TimePoint now)
{
    m_checkAt = now + checkInterval;
    const bool isUsable = m_copy.isUsable(now);
    if (isUsable && mayProbe && !m_isCopying) {
        const auto current = m_context.servers.server(m_copy.holder()->info.id, now);
        if (current->hasFailedZonePeer && m_placement.tryTakeProbe(*current, now))
            return probe(*current);
    }
    const bool isWanted =
        m_progress.hasEvents() && !m_isCopying && (!isUsable || m_copy.needsRenewal(now));
    if (!isWanted)
        return KeepWaiting {};
    const auto holder = isUsable ? m_copy.holder() : chooseHolder(runServer, now);
    if (!isUsable)
        m_copy.drop();
    if (!holder)
        return KeepWaiting {};
    return order(runServer, *holder, now);
}

ForwardAction RunCopier::order(const BackendState &runServer, const BackendState &holder,
                               TimePoint now)
{
    if (!m_admittedPlacer.tryAcquire(runServer.info.id, now)) {
        m_checkAt = now + retryDelay;
        return KeepWaiting {};
    }
    m_isCopying = true;
    return CopyRun {runServer, holder, copyTimeout};
}

// Servers of a zone fail together, and the holder sends nothing unless it is probed.
ForwardAction RunCopier::probe(const BackendState &holder)
{
    ProbeServers probe;
    probe.servers = {holder};
    probe.timeout = holderProbeTimeout;
    probe.useNewConnections = true;
    m_isProbing = true;
    return probe;
}

void RunCopier::onProbed(std::span<const ServerProbeResult> reports, TimePoint now)
{
    m_isProbing = false;
    const auto &holder = m_copy.holder();
    if (holder && reports.empty())
        m_context.servers.recordFailure(holder->info.id, now);
    if (!m_copy.isUsable(now))
        m_checkAt = now;
}

void RunCopier::onCopied(const CopyRun &copyRun, std::optional<std::string> handle, TimePoint now)
{
    // The order was given by an earlier attempt at the same server.
    if (!m_isCopying) {
        if (handle)
            onLateCopy(copyRun, std::move(*handle));
        return;
    }
    m_isCopying = false;
    if (handle)
        m_copy.setSnapshot(
            copyRun.to, {copyRun.from.info.address, std::move(*handle), copyRun.from.info.id}, now);
    else
        m_checkAt = now + retryDelay;
}

void RunCopier::onLateCopy(const CopyRun &copyRun, std::string handle)
{
    m_copy.addLate({copyRun.from.info.address, std::move(handle), copyRun.from.info.id});
}

// A copy exists only from the first event on, not while the prompt is processed.
bool RunCopier::hasUsableCopy(TimePoint now) const
{
    return m_progress.hasEvents() && m_copy.isUsable(now);
}

std::optional<SendAttempt> RunCopier::takeResumeAttempt(TimePoint now)
{
    return m_copy.takeResumeAttempt(now);
}

} // namespace foxtailring
