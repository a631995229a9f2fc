#include "foxtailring/decisions/RunCopy.h"

#include "foxtailring/decisions/BackendTable.h"
#include "foxtailring/decisions/ForwardAction.h"

#include <utility>

namespace foxtailring {

namespace {

// Half of the least time that engines keep a copy that does not grow.
constexpr std::chrono::milliseconds snapshotRenewalAge {2000};

} // namespace

RunCopy::RunCopy(BackendTable &servers, ReleaseHook release)
    : m_servers(servers)
    , m_releaseHook(std::move(release))
{
}

// Nothing is sent any more when the process ends.
RunCopy::~RunCopy()
{
    reset();
}

void RunCopy::startContinuous(const BackendState &holder)
{
    drop();
    m_holder = holder;
    m_servers.startCopy(holder.info.id);
}

void RunCopy::setSnapshot(const BackendState &holder, CopyReference name, TimePoint now)
{
    // An order that is repeated has the same copy brought up to date.
    if (m_snapshot && m_snapshot->handle == name.handle)
        reset();
    startContinuous(holder);
    m_snapshot = std::move(name);
    m_snapshotAt = now;
}

// An engine keeps a place for an ordered copy until it lapses, even when the run has ended.
void RunCopy::drop()
{
    if (m_snapshot && m_releaseHook)
        m_releaseHook(*m_snapshot);
    reset();
}

void RunCopy::reset()
{
    if (m_holder)
        m_servers.endCopy(m_holder->info.id);
    m_holder.reset();
    m_snapshot.reset();
}

bool RunCopy::isUsable(TimePoint now) const
{
    if (!m_holder)
        return false;
    const auto present = m_servers.server(m_holder->info.id, now);
    return present && !present->info.isDraining && !present->isReplaced
        && present->health != BackendHealth::Suspected;
}

bool RunCopy::needsRenewal(TimePoint now) const
{
    return m_snapshot && now - m_snapshotAt >= snapshotRenewalAge;
}

std::optional<SendAttempt> RunCopy::takeResumeAttempt(TimePoint now)
{
    if (!isUsable(now)) {
        drop();
        return std::nullopt;
    }
    SendAttempt attempt;
    attempt.server = *m_servers.server(m_holder->info.id, now);
    attempt.fromCopy = m_snapshot ? *m_snapshot : CopyReference {attempt.server.info.address, {}};
    reset();
    return attempt;
}

} // namespace foxtailring
