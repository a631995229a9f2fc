#pragma once

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/quarantine/CrashChecks.h"
#include "foxtailring/decisions/quarantine/RequestQuarantine.h"
#include "foxtailring/decisions/quarantine/SuspectedCrashes.h"
#include "foxtailring/decisions/servers/BackendTable.h"
#include "foxtailring/decisions/servers/ServerProbeResult.h"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace foxtailring {

/// \brief What one gateway of a simulation does about calls that crash servers. The digest of a
/// call is its only suspect.
class CallGateway
{
public:
    using Quarantine = RequestQuarantine;
    using Report = CrashReport;
    using AskHook = std::function<void(std::uint64_t number, std::vector<BackendState> servers)>;

    /// \param servers the others must outlive the object, too
    /// \param triesFirst tries a call at the end of its quarantine
    CallGateway(const BackendTable &servers, RandomSource &random, bool triesFirst, AskHook ask)
        : m_checks(servers, random)
        , m_suspicions(m_quarantine, &m_checks)
    {
        Quarantine::Hooks hooks;
        // As in the gateway: one of those that see a call answered clears it for all.
        hooks.clearingDelay = [&random] { return std::chrono::milliseconds(random.bounded(2000)); };
        hooks.isTrialOwner = [triesFirst](std::string_view) { return triesFirst; };
        m_quarantine.setHooks(std::move(hooks));
        m_checks.setHooks({std::move(ask), nullptr});
    }

    void setUnixOffset(std::chrono::milliseconds offset) { m_quarantine.setUnixOffset(offset); }

    /// \brief False: a new call is refused.
    bool admits(const std::string &digest, TimePoint now)
    {
        return m_quarantine.admit(suspectsOf(digest), now) != Quarantine::Admission::Rejected;
    }
    bool isQuarantined(const std::string &digest, TimePoint now) const
    {
        return !m_quarantine.quarantinedSuspect(suspectsOf(digest), now).empty();
    }
    /// \brief The connection with the call ended without an answer.
    void recordLost(const BackendInfo &server, const std::string &digest, TimePoint now)
    {
        m_suspicions.recordReset(server, suspectsOf(digest), false, now);
        recordFailure(SuspectedCrashes::incarnationOf(server), server.service, now);
    }
    /// \brief A whole answer of any status came.
    void recordAnswer(const std::string &digest, TimePoint now)
    {
        m_quarantine.recordStart(suspectsOf(digest), now);
    }
    void recordFailure(const std::string &incarnation, const std::string &service, TimePoint now)
    {
        m_quarantine.recordFailure(incarnation, service, now, now);
    }
    /// \brief Servers have, or have not, answered what the hook asked them.
    void recordProbes(std::uint64_t number, std::span<const BackendState> asked,
                      std::span<const ServerProbeResult> reports, TimePoint now)
    {
        m_checks.recordAnswers(number, asked, reports, now);
    }

    void expire(const BackendTable &servers, TimePoint now)
    {
        m_suspicions.update(servers, now);
        m_quarantine.expire(now);
    }
    std::optional<Report> takeDueReport(TimePoint now) { return m_quarantine.takeDueReport(now); }
    void onReportNotPublished() { m_quarantine.onReportNotPublished(); }
    void read(const Report &report, const ReportReception &reception, TimePoint now)
    {
        m_quarantine.applyReport(report, now, reception);
    }

private:
    static std::span<const std::string> suspectsOf(const std::string &digest)
    {
        return {&digest, 1};
    }

    Quarantine m_quarantine;
    CrashChecks m_checks;
    SuspectedCrashes m_suspicions;
};

} // namespace foxtailring
