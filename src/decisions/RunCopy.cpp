#include "foxtailring/decisions/RunCopy.h"

#include "foxtailring/decisions/BackendTable.h"
#include "foxtailring/decisions/ForwardAction.h"

#include <utility>

namespace foxtailring {

namespace {

// Half of the least time that engines keep a copy that does not grow.
constexpr std::chrono::milliseconds orderedCopyAge {2000};

} // namespace

RunCopy::RunCopy(BackendTable &servers, ReleaseHook release)
    : m_servers(servers)
    , m_release(std::move(release))
{
}

// Nothing is sent any more when the process ends.
RunCopy::~RunCopy()
{
    forget();
}

void RunCopy::grow(const BackendState &keeper)
{
    drop();
    m_keeper = keeper;
    m_servers.startCopy(keeper.info.id);
}

void RunCopy::place(const BackendState &keeper, CopyName name, TimePoint now)
{
    // An order that is repeated has the same copy brought up to date.
    if (m_ordered && m_ordered->handle == name.handle)
        forget();
    grow(keeper);
    m_ordered = std::move(name);
    m_placedAt = now;
}

// An engine keeps a place for an ordered copy until it lapses, even when the run has ended.
void RunCopy::drop()
{
    if (m_ordered && m_release)
        m_release(*m_ordered);
    forget();
}

void RunCopy::forget()
{
    if (m_keeper)
        m_servers.endCopy(m_keeper->info.id);
    m_keeper.reset();
    m_ordered.reset();
}

bool RunCopy::isUsable(TimePoint now) const
{
    if (!m_keeper)
        return false;
    const auto present = m_servers.server(m_keeper->info.id, now);
    return present && !present->info.isDraining && !present->isMisplaced
        && present->trust != BackendTrust::Suspected;
}

bool RunCopy::isAgeing(TimePoint now) const
{
    return m_ordered && now - m_placedAt >= orderedCopyAge;
}

std::optional<SendAttempt> RunCopy::take(TimePoint now)
{
    if (!isUsable(now)) {
        drop();
        return std::nullopt;
    }
    SendAttempt attempt;
    attempt.server = *m_servers.server(m_keeper->info.id, now);
    attempt.fromCopy = m_ordered ? *m_ordered : CopyName {attempt.server.info.address, {}};
    forget();
    return attempt;
}

} // namespace foxtailring
