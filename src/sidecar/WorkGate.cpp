#include "foxtailring/sidecar/WorkGate.h"

#include "foxtailring/decisions/configuration/ConfigState.h"
#include "foxtailring/decisions/membership/DrainState.h"
#include "foxtailring/sidecar/LoadMonitor.h"
#include "foxtailring/sidecar/SidecarSettings.h"
#include "foxtailring/sidecar/WorkTicket.h"

namespace foxtailring {

WorkTicket::WorkTicket(std::shared_ptr<DrainState> drain)
    : m_drain(std::move(drain))
{
}

WorkTicket::~WorkTicket()
{
    m_drain->endWork();
}

WorkGate::WorkGate(std::shared_ptr<const SidecarSettings> settings,
                   std::shared_ptr<const ConfigState> config, std::shared_ptr<DrainState> drain,
                   std::shared_ptr<const LoadMonitor> load)
    : m_settings(std::move(settings))
    , m_config(std::move(config))
    , m_drain(std::move(drain))
    , m_load(std::move(load))
{
}

Result<std::shared_ptr<WorkTicket>> WorkGate::admit()
{
    if (const auto admitted = m_drain->admitWork(); !admitted)
        return admitted.error();
    auto ticket = std::make_shared<WorkTicket>(m_drain);
    if (m_settings->requireConfig && m_config->revision() == 0)
        return Error {ErrorCode::Unavailable, "no configuration is in force yet"};
    const std::size_t bound = std::size_t(m_load->capacity()) + m_settings->queueBound;
    if (m_drain->workInProgress() > bound)
        return Error {ErrorCode::Overloaded,
                      "the server has " + std::to_string(bound) + " requests in progress"};
    return ticket;
}

} // namespace foxtailring
