#include "CrashReportBuilder.h"

#include "foxtailring/decisions/quarantine/SuspectTable.h"

#include <algorithm>
#include <cstddef>
#include <tuple>
#include <utility>
#include <vector>

namespace foxtailring {

namespace {

constexpr std::size_t maxReportedCrashes = 16;
constexpr std::size_t maxReportedSuspects = 32; ///< of a crash

} // namespace

CrashReportBuilder::CrashReportBuilder(const SuspectTable &suspects, TimePoint newsSince,
                                       std::function<std::int64_t(TimePoint)> toReportMs)
    : m_suspects(suspects)
    , m_newsSince(newsSince)
    , m_toReportMs(std::move(toReportMs))
{
}

CrashReport CrashReportBuilder::build()
{
    for (const auto &[name, record] : m_suspects.records())
        addRecord(name, record);
    for (auto &[incarnation, crash] : m_crashes)
        m_report.crashes.push_back(std::move(crash));
    std::sort(m_report.crashes.begin(), m_report.crashes.end(),
              [](const auto &a, const auto &b) { return a.atMs > b.atMs; });
    if (m_report.crashes.size() > maxReportedCrashes)
        m_report.crashes.resize(maxReportedCrashes);
    for (CrashReport::Crash &crash : m_report.crashes) {
        addSuspects(crash);
        addRequests(crash);
        addOneLossSuspects(crash);
    }
    return std::move(m_report);
}

void CrashReportBuilder::addRecord(const std::string &name, const SuspectRecord &record)
{
    const SuspectRecord::Quarantine &quarantine = record.quarantine;
    addCrashes(name, record, quarantine.isInForce && quarantine.hasRejected);
    if (record.isOwnStart && record.startNewsAt >= m_newsSince)
        m_report.starts.push_back({name, m_toReportMs(record.startedAt)});
    if (quarantine.isInForce && (quarantine.hasRejected || record.hasOwnCrash()))
        m_report.quarantines.push_back(
            {name, m_toReportMs(quarantine.since), m_toReportMs(quarantine.until)});
}

void CrashReportBuilder::addCrashes(const std::string &name, const SuspectRecord &record,
                                    bool isReliedOn)
{
    const bool tellsNews = !m_isDeciding || m_isDeciding(name, record);
    for (const auto &[incarnation, crash] : record.crashes) {
        const bool isNews = tellsNews && crash.isOwn && crash.newsAt >= m_newsSince;
        if (!isNews && !isReliedOn)
            continue;
        const bool isZoneFailure = record.isZoneFailure(crash);
        const auto [found, isNew] = m_crashes.try_emplace(
            incarnation,
            CrashReport::Crash {incarnation, 0, {}, isZoneFailure, crash.service, {}, {}});
        CrashReport::Crash &reported = found->second;
        reported.atMs = m_toReportMs(crash.at.latest);
        reported.isZoneFailure = reported.isZoneFailure && isZoneFailure;
    }
}

// All its suspects, or readers would hold one of several possible causes for the only one. If they
// are too many, those with the most crashes, and of these the most specific ones: what many
// requests share is cleared first.
void CrashReportBuilder::addSuspects(CrashReport::Crash &crash) const
{
    struct Suspect
    {
        std::size_t crashes;
        std::size_t position;
        const std::string *name;
    };
    std::vector<Suspect> suspects;
    for (const std::string &name : m_suspects.suspectsOf(crash.incarnation)) {
        const SuspectRecord::Crashes &crashes = m_suspects.find(name)->crashes;
        suspects.push_back({crashes.size(), crashes.at(crash.incarnation).position, &name});
    }
    std::sort(suspects.begin(), suspects.end(), [](const Suspect &one, const Suspect &other) {
        return std::tie(one.crashes, one.position) > std::tie(other.crashes, other.position);
    });
    if (suspects.size() > maxReportedSuspects)
        suspects.resize(maxReportedSuspects);
    // Readers take the order for that of the positions.
    std::stable_sort(
        suspects.begin(), suspects.end(),
        [](const Suspect &one, const Suspect &other) { return one.position < other.position; });
    for (const Suspect &suspect : suspects)
        crash.suspects.push_back(*suspect.name);
}

// Most crashes end one request, whose parts are all the suspects. The list is left out then.
void CrashReportBuilder::addRequests(CrashReport::Crash &crash) const
{
    const std::vector<std::string> &names = crash.suspects;
    std::vector<CrashReport::Indexes> requests;
    for (std::size_t last = 0; last < names.size(); ++last) {
        const auto &parts = m_suspects.find(names[last])->parts;
        if (parts.empty())
            continue;
        CrashReport::Indexes request;
        for (std::size_t i = 0; i < names.size(); ++i) {
            if (i == last || parts.contains(names[i]))
                request.push_back(i);
        }
        requests.push_back(std::move(request));
    }
    const bool isOneRequest = requests.size() == 1 && requests.front().size() == names.size();
    if (!isOneRequest)
        crash.requests = std::move(requests);
}

void CrashReportBuilder::addOneLossSuspects(CrashReport::Crash &crash) const
{
    for (std::size_t i = 0; crash.isZoneFailure && i < crash.suspects.size(); ++i) {
        const SuspectRecord &record = *m_suspects.find(crash.suspects[i]);
        if (record.isExcusedByOneLoss(record.crashes.at(crash.incarnation)))
            crash.oneLossSuspects.push_back(i);
    }
}

} // namespace foxtailring
