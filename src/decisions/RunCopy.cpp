#include "foxtailring/decisions/RunCopy.h"

#include "foxtailring/decisions/BackendTable.h"
#include "foxtailring/decisions/ForwardAction.h"

#include <utility>

namespace foxtailring {

namespace {

// Half of the least time that engines keep a copy that does not grow.
constexpr std::chrono::milliseconds orderedCopyAge {2000};

} // namespace

RunCopy::RunCopy(BackendTable &servers)
    : m_servers(servers)
{
}

RunCopy::~RunCopy()
{
    drop();
}

void RunCopy::grow(const BackendState &keeper)
{
    drop();
    m_keeper = keeper;
    m_servers.startCopy(keeper.info.id);
}

void RunCopy::place(const BackendState &keeper, CopyName name, TimePoint now)
{
    grow(keeper);
    m_ordered = std::move(name);
    m_placedAt = now;
}

void RunCopy::drop()
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
    return present && !present->info.isDraining && present->trust != BackendTrust::Suspected;
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
    drop();
    return attempt;
}

} // namespace foxtailring
