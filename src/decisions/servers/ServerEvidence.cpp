#include "foxtailring/decisions/servers/ServerEvidence.h"

#include "foxtailring/decisions/limits/ServerAdmission.h"
#include "foxtailring/decisions/quarantine/SuspectedCrashes.h"
#include "foxtailring/decisions/servers/BackendAnswer.h"
#include "foxtailring/decisions/servers/BackendTable.h"
#include "foxtailring/decisions/servers/ServerProbeResult.h"
#include "foxtailring/decisions/sessions/ForwardContext.h"

namespace foxtailring {

ServerEvidence::ServerEvidence(const ForwardContext &context)
    : m_context(context)
{
}

void ServerEvidence::recordHead(const BackendInfo &server, TimePoint sentAt,
                                const BackendAnswer &answer, TimePoint now) const
{
    m_context.servers.recordContact(server.id, now);
    if (!answer.isOtherServer)
        m_context.servers.recordFigures(server.id, answer.load, now);
    if (!answer.isOtherServer)
        m_context.admission.recordAnswer(server, answer, sentAt, now);
    // Requests name the server that is to execute them, and only one that did signs.
    if (!answer.isOtherServer && answer.isSigned)
        m_context.servers.confirmIdentity(server, now);
    recordNotice(server, answer);
}

// What another server sends, or a success that no server has signed, does not count.
void ServerEvidence::recordNotice(const BackendInfo &server, const BackendAnswer &answer) const
{
    const bool isOwnAnswer =
        !answer.isOtherServer && (answer.isSigned || answer.isNotRun || !answer.isSuccess());
    if (isOwnAnswer)
        m_context.servers.recordNotice(server, answer.leaving);
}

void ServerEvidence::recordEnd(std::string_view serverId, AttemptResult result, TimePoint now) const
{
    if (result == AttemptResult::Lost || result == AttemptResult::NotSent)
        m_context.servers.recordConnectionLost(serverId, now);
    if (result == AttemptResult::OtherServer)
        m_context.servers.recordReplacement(serverId, {}, now);
    else if (result == AttemptResult::NotRun)
        m_context.servers.recordContact(serverId, now);
    else
        m_context.servers.recordFailure(serverId, now);
}

void ServerEvidence::recordReports(std::span<const ServerProbeResult> reports, ReportedLoad load,
                                   TimePoint now) const
{
    for (const ServerProbeResult &report : reports)
        recordReport(report, load, now);
}

void ServerEvidence::recordReport(const ServerProbeResult &report, ReportedLoad load,
                                  TimePoint now) const
{
    const ReportedStart start =
        m_context.servers.recordReport(report.serverId, report.startedAtMs, now);
    m_context.suspectedCrashes.recordReport(m_context.servers, report, start, now);
    if (start != ReportedStart::Accepted)
        return;
    m_context.servers.recordContact(report.serverId, now);
    if (report.relativeDuration)
        m_context.servers.pace().recordTold(report.serverId, *report.relativeDuration, now);
    if (load == ReportedLoad::Given && !report.isTurnedAway)
        m_context.servers.updateLoad(report.serverId, report.load, now);
    if (const auto server = m_context.servers.server(report.serverId, now))
        m_context.servers.recordNotice(server->info, report.leaving);
}

} // namespace foxtailring
