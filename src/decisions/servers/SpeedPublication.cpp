#include "foxtailring/decisions/servers/SpeedPublication.h"

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/membership/FleetBudget.h"
#include "foxtailring/decisions/servers/EngineSpeeds.h"

#include "IntervalLog.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace foxtailring {

namespace {

// Runs differ in length at one speed. Two runs that others saw tell the speed classes apart.
constexpr std::uint32_t enoughRuns = 2;
// Change of the duration that the others would know, as a logarithm.
constexpr double minChange = 0.1;
constexpr std::chrono::milliseconds minWriteInterval {2000};
// The first gateways that start would otherwise write together.
constexpr std::chrono::milliseconds minSpread {1000};
constexpr std::chrono::milliseconds lookInterval {500};
// Looking through the readings takes about 1 us each, on the queue of the requests.
constexpr std::size_t readingsPerLookInterval = 500;
// A report holds several times the process's part of all engines, so that each engine is in the
// reports of several processes, and the bytes of a write stay bounded.
constexpr std::size_t reportersPerEngine = 3;
constexpr std::size_t minReportEntries = 64;
constexpr std::size_t maxReportEntries = 1500;
// Of a reading in the store.
constexpr std::size_t entryBytes = 35;

bool isBefore(const SpeedReading &a, const SpeedReading &b)
{
    return std::tie(a.service, a.address) < std::tie(b.service, b.address);
}

double weightedLog(const SpeedReading &reading)
{
    return reading.runs == 0 ? 0 : reading.runs * intervalLog(reading.eventInterval);
}

// Mean of the logarithms of what others know and what this process tells them.
double knownLog(const SpeedReading &others, const SpeedReading &told)
{
    const std::uint32_t runs = others.runs + told.runs;
    return runs == 0 ? 0 : (weightedLog(others) + weightedLog(told)) / runs;
}

bool changes(const SpeedReading &others, const SpeedReading &told, const SpeedReading &own)
{
    if (others.runs + told.runs < enoughRuns)
        return own.runs > told.runs;
    return std::abs(knownLog(others, own) - knownLog(others, told)) >= minChange;
}

const SpeedReading *findReading(const SpeedReport &report, const SpeedReading &own)
{
    const auto found =
        std::lower_bound(report.readings.begin(), report.readings.end(), own, isBefore);
    return found != report.readings.end() && !isBefore(own, *found) ? &*found : nullptr;
}

std::size_t reportEntries(std::size_t engines, std::size_t processes)
{
    const std::size_t part = engines / std::max<std::size_t>(processes, 1);
    return std::clamp(reportersPerEngine * part, minReportEntries, maxReportEntries);
}

std::size_t wireBytes(const SpeedReport &report)
{
    return FleetBudget::wireBytes(entryBytes * report.readings.size());
}

} // namespace

SpeedPublication::SpeedPublication(RandomSource &random)
    : m_random(random)
{
}

std::optional<SpeedReport> SpeedPublication::takeDueReport(const EngineSpeeds &speeds,
                                                           const FleetBudget &budget, TimePoint now)
{
    if (m_writeAt ? now < *m_writeAt || !budget.mayWrite(now) : now < m_lookAt)
        return std::nullopt;
    Draft next = draft(speeds, budget.processCount());
    const Duration spread = budget.spread(wireBytes(next.report));
    if (!isDue(next)) {
        m_writeAt.reset();
        m_lookAt = now + lookInterval * (1 + speeds.ownCount() / readingsPerLookInterval);
        return std::nullopt;
    }
    if (!m_writeAt) {
        m_writeAt = now + randomDelay(std::max<Duration>(minSpread, spread));
        return std::nullopt;
    }
    m_writeAt.reset();
    m_lookAt = now + std::max<Duration>(minWriteInterval, spread);
    m_isRepeating = false;
    m_published = next.report;
    return std::move(next.report);
}

bool SpeedPublication::isDue(const Draft &draft) const
{
    return draft.hasNews || (m_isRepeating && !draft.report.readings.empty());
}

// Engines that others know least come first, so that a bounded report tells most.
SpeedPublication::Draft SpeedPublication::draft(const EngineSpeeds &speeds,
                                                std::size_t processes) const
{
    std::vector<Candidate> all = candidates(speeds);
    const std::size_t size = std::min(all.size(), reportEntries(speeds.engineCount(), processes));
    std::stable_sort(all.begin(), all.end(), [](const Candidate &a, const Candidate &b) {
        return std::tuple(a.otherRuns, !a.isPublished) < std::tuple(b.otherRuns, !b.isPublished);
    });
    all.resize(size);
    Draft draft;
    for (Candidate &candidate : all) {
        draft.hasNews = draft.hasNews || candidate.isNews;
        draft.report.readings.push_back(std::move(candidate.reading));
    }
    std::sort(draft.report.readings.begin(), draft.report.readings.end(), isBefore);
    return draft;
}

std::vector<SpeedPublication::Candidate>
SpeedPublication::candidates(const EngineSpeeds &speeds) const
{
    std::vector<Candidate> candidates;
    for (SpeedReading &own : speeds.ownReadings()) {
        const SpeedReading others = speeds.others(own);
        const SpeedReading *published = findReading(m_published, own);
        const bool isNews = changes(others, published ? *published : SpeedReading {}, own);
        if (isNews || published)
            candidates.push_back({std::move(own), others.runs, published != nullptr, isNews});
    }
    return candidates;
}

Duration SpeedPublication::randomDelay(Duration bound)
{
    return std::chrono::duration_cast<Duration>(m_random.generateDouble() * bound);
}

} // namespace foxtailring
