#include "foxtailring/decisions/sessions/RunCopy.h"

#include "foxtailring/decisions/servers/BackendTable.h"
#include "foxtailring/decisions/sessions/ForwardAction.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

namespace {

// Half of the minimum time for which engines keep a snapshot.
constexpr std::chrono::milliseconds snapshotRenewalAge {2000};

} // namespace

RunCopy::RunCopy(BackendTable &servers, ReleaseHook release)
    : m_servers(servers)
    , m_releaseHook(std::move(release))
{
}

// Unlike drop(), does not call the hook: when the process exits, nothing can be sent.
RunCopy::~RunCopy()
{
    reset();
}

void RunCopy::setHolder(const BackendState &holder)
{
    drop();
    m_holder = holder;
    m_servers.startCopy(holder.info.id);
}

void RunCopy::setSnapshot(const BackendState &holder, CopyReference reference, TimePoint now)
{
    // A renewed snapshot has the handle of the earlier one, which must not be released.
    if (m_snapshot && m_snapshot->handle == reference.handle)
        reset();
    setHolder(holder);
    m_snapshot = std::move(reference);
    m_snapshotAt = now;
}

// An engine reserves memory for a snapshot until it expires, even after the run has ended. One that
// leaves takes no new work that could need the memory.
void RunCopy::drop()
{
    if (m_snapshot)
        release(*m_snapshot);
    reset();
}

void RunCopy::release(const CopyReference &reference) const
{
    if (m_releaseHook && m_servers.acceptsNewWork(reference.serverId))
        m_releaseHook(reference);
}

// Not released while the run goes on: a later snapshot of the run has the same handle and may be
// in use, or on its way.
void RunCopy::addLate(CopyReference reference)
{
    if (std::find(m_late.begin(), m_late.end(), reference) == m_late.end())
        m_late.push_back(std::move(reference));
}

void RunCopy::end()
{
    if (m_snapshot)
        std::erase(m_late, *m_snapshot);
    drop();
    for (const CopyReference &reference : std::exchange(m_late, {}))
        release(reference);
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
    const auto current = m_servers.server(m_holder->info.id, now);
    return current && current->info.isSameStart(m_holder->info) && current->acceptsNewWork()
        && current->health != BackendHealth::Suspected;
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
    attempt.fromCopy = m_snapshot
        ? *m_snapshot
        : CopyReference {attempt.server.info.address, {}, attempt.server.info.id};
    reset();
    return attempt;
}

} // namespace foxtailring
