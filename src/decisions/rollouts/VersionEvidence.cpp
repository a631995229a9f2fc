#include "foxtailring/decisions/rollouts/VersionEvidence.h"

#include "foxtailring/decisions/rollouts/BinomialTail.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

namespace foxtailring {

namespace {

using std::chrono::seconds;

constexpr seconds slotTime {2};
constexpr std::size_t recentSlots = 3; ///< with the one that goes on
constexpr std::size_t maxSlots = 30;
// 1.25 to the power of 4: slow answers take at least 2.4 times as long as the median.
constexpr int slowBuckets = 4;
// 1.6 times: too many of them may be the beginning of slow ones.
constexpr int uncertainBuckets = 2;
// With a median of earlier seconds, 4.8 times.
constexpr int slowBucketsOfOldMedian = 7;
constexpr std::uint64_t minMedianAnswers = 8;
// Of the old version in one slot; with fewer, its rate since the order counts.
constexpr std::uint64_t minSlotAnswers = 20;
// Of the old version on a route that the new one has to serve as well.
constexpr std::uint64_t minRouteAnswers = 10;
constexpr double badProbability = 1e-6;
constexpr double suspectProbability = 2e-3;
// Of the answers outside the zone with most bad ones, so that one grey server or a lost zone
// condemns nothing.
constexpr double badRestProbability = 1e-3;
constexpr double suspectRestProbability = 2e-2;
constexpr std::uint64_t minBadAnswers = 4;
constexpr std::uint64_t minSuspectAnswers = 2;
// The rate of the old version is known within so many standard deviations.
constexpr double rateDeviations = 2;
constexpr double minRate = 0.01;
constexpr double unknownRate = 0.05; ///< of a route on which the old version has no answers
// A new version is as good as the old one up to this multiple of its rate.
constexpr double minRateRatio = 1.5;

using Grade = VersionVerdict::Grade;

/// Answers of one version.
struct Tally
{
    std::uint64_t answers = 0;
    std::uint64_t failures = 0;
    std::uint64_t slow = 0;

    std::uint64_t bad() const { return failures + slow; }
    Tally &operator+=(const Tally &other)
    {
        answers += other.answers;
        failures += other.failures;
        slow += other.slow;
        return *this;
    }
};

/// From which bucket on an answer is slow; none: unknown.
using SlowLimit = std::optional<int>;

Tally tallyOf(const VersionRow &row, SlowLimit limit)
{
    Tally tally;
    tally.failures = row.failures;
    const std::uint64_t overdue = limit ? row.open.countFrom(*limit) : 0;
    tally.slow = overdue + (limit ? row.times.countFrom(*limit) : 0);
    tally.answers = row.failures + row.times.count() + overdue;
    return tally;
}

/// The answers of both versions on one route.
struct Comparison
{
    Tally old;
    std::map<std::string, Tally> newByZone;
    double expectedBad = 0; ///< answers of the new version at the rates of the old one

    Tally allNew() const
    {
        Tally sum;
        for (const auto &[zone, tally] : newByZone)
            sum += tally;
        return sum;
    }

    Tally withoutWorstZone() const
    {
        Tally sum = allNew();
        if (newByZone.size() < 2)
            return sum;
        const auto worst = std::max_element(newByZone.begin(), newByZone.end(),
                                            [](const auto &one, const auto &other) {
                                                return one.second.bad() < other.second.bad();
                                            });
        sum.answers -= worst->second.answers;
        sum.failures -= worst->second.failures;
        sum.slow -= worst->second.slow;
        return sum;
    }

    void add(const Comparison &slot, double oldRate)
    {
        merge(slot);
        expectedBad += oldRate * static_cast<double>(slot.allNew().answers);
    }

    void merge(const Comparison &other)
    {
        old += other.old;
        for (const auto &[zone, tally] : other.newByZone)
            newByZone[zone] += tally;
        expectedBad += other.expectedBad;
    }
};

double rateOf(const Tally &old)
{
    return (static_cast<double>(old.bad()) + 0.5) / (static_cast<double>(old.answers) + 1);
}

/// Rate of bad answers that the old version may have, with the uncertainty of its counts.
double plausibleRate(const Tally &old)
{
    if (old.answers == 0)
        return unknownRate;
    const double rate = rateOf(old);
    const double deviation = std::sqrt(rate * (1 - rate) / static_cast<double>(old.answers));
    return std::max(minRate, rate + rateDeviations * deviation);
}

Grade gradeOf(const Comparison &comparison)
{
    const Tally all = comparison.allNew();
    const Tally rest = comparison.withoutWorstZone();
    if (all.bad() < minSuspectAnswers)
        return Grade::Good;
    const double rate = comparison.expectedBad / static_cast<double>(all.answers);
    if (static_cast<double>(all.bad()) < minRateRatio * comparison.expectedBad)
        return Grade::Good;
    const double probability = binomialTail(all.answers, all.bad(), rate);
    const double restProbability = binomialTail(rest.answers, rest.bad(), rate);
    if (all.bad() >= minBadAnswers && probability < badProbability
        && restProbability < badRestProbability)
        return Grade::Bad;
    if (probability >= suspectProbability)
        return Grade::Good;
    // Too many bad answers, which may all be due to one server or zone.
    return restProbability < suspectRestProbability ? Grade::Suspect : Grade::Uncertain;
}

const VersionRow *oldRow(const VersionEvidence::Rows &rows, const std::string &aspect)
{
    const auto row = rows.find({aspect, false, {}});
    return row == rows.end() ? nullptr : &row->second;
}

std::optional<int> oldMedian(const VersionEvidence::Rows &rows, const std::string &aspect)
{
    const VersionRow *row = oldRow(rows, aspect);
    if (!row || row->times.count() < minMedianAnswers)
        return std::nullopt;
    return row->times.medianBucket();
}

Comparison compare(const VersionEvidence::Rows &rows, const std::string &aspect, SlowLimit limit)
{
    Comparison comparison;
    for (auto row = rows.lower_bound({aspect, false, {}});
         row != rows.end() && row->first.aspect == aspect; ++row) {
        const Tally tally = tallyOf(row->second, limit);
        if (!row->first.isNew)
            comparison.old += tally;
        else if (tally.answers > 0)
            comparison.newByZone[row->first.zone] = tally;
    }
    return comparison;
}

/// While the old version serves little, an overload would show in the times of the new one alone,
/// so that only much slower answers count.
SlowLimit slowLimit(const VersionEvidence::Rows &slot, const VersionEvidence::Rows &all,
                    const std::string &aspect, int buckets)
{
    if (const auto current = oldMedian(slot, aspect))
        return *current + buckets;
    if (const auto earlier = oldMedian(all, aspect))
        return *earlier + slowBucketsOfOldMedian - slowBuckets + buckets;
    return std::nullopt;
}

VersionEvidence::Rows difference(VersionEvidence::Rows rows, const VersionEvidence::Rows &earlier)
{
    for (auto &[key, row] : rows) {
        const auto before = earlier.find(key);
        if (before == earlier.end())
            continue;
        row.failures -= std::min(row.failures, before->second.failures);
        row.times.subtract(before->second.times);
    }
    return rows;
}

/// Compares one aspect slot by slot.
class AspectComparison
{
public:
    AspectComparison(std::span<const VersionEvidence::Rows *const> slots,
                     const VersionEvidence::Rows &all, const std::string &aspect, int slowAfter)
    {
        std::vector<Comparison> compared;
        Tally old;
        for (const VersionEvidence::Rows *slot : slots) {
            compared.push_back(compare(*slot, aspect, slowLimit(*slot, all, aspect, slowAfter)));
            old += compared.back().old;
        }
        const double usualRate = plausibleRate(old);
        for (std::size_t i = 0; i < compared.size(); ++i) {
            const Comparison &slot = compared[i];
            const double rate = slot.old.answers < minSlotAnswers
                ? usualRate
                : std::max(usualRate, rateOf(slot.old));
            total.add(slot, rate);
            if (i + recentSlots >= compared.size())
                recent.add(slot, rate);
        }
    }

    Grade grade() const { return std::max(gradeOf(total), gradeOf(recent)); }

    Comparison total;
    Comparison recent;
};

void add(VersionFigures &figures, const Tally &tally)
{
    figures.answers += tally.answers;
    figures.failures += tally.failures;
    figures.slow += tally.slow;
}

void raise(VersionVerdict &verdict, Grade grade, const std::string &aspect)
{
    if (grade <= verdict.grade)
        return;
    verdict.grade = grade;
    verdict.aspect = aspect;
}

} // namespace

void VersionEvidence::reset()
{
    m_rows.clear();
    m_slotStart.clear();
    m_slots.clear();
    m_slotStartsAt = {};
}

void VersionEvidence::update(Rows merged, TimePoint now)
{
    m_rows = std::move(merged);
    if (m_slotStartsAt == TimePoint {})
        m_slotStartsAt = now;
    if (now - m_slotStartsAt < slotTime)
        return;
    Rows ended = difference(m_rows, m_slotStart);
    // Requests without an answer belong to the latest slot.
    for (auto &[key, row] : ended)
        row.open = {};
    m_slots.push_back(std::move(ended));
    if (m_slots.size() > maxSlots)
        m_slots.pop_front();
    m_slotStart = m_rows;
    m_slotStartsAt = now;
}

VersionVerdict VersionEvidence::judge() const
{
    const Rows latest = difference(m_rows, m_slotStart);
    std::vector<const Rows *> slots;
    for (const Rows &slot : m_slots)
        slots.push_back(&slot);
    slots.push_back(&latest);
    VersionVerdict verdict;
    AspectComparison allRoutes({}, m_rows, {}, slowBuckets);
    std::string_view previous;
    for (const auto &[key, row] : m_rows) {
        if (key.aspect == previous)
            continue;
        previous = key.aspect;
        const AspectComparison slow(slots, m_rows, key.aspect, slowBuckets);
        raise(verdict, slow.grade(), key.aspect);
        const AspectComparison uncertain(slots, m_rows, key.aspect, uncertainBuckets);
        if (uncertain.grade() > Grade::Good)
            raise(verdict, Grade::Uncertain, key.aspect);
        if (key.aspect.ends_with(paceSuffix))
            continue;
        allRoutes.total.merge(slow.total);
        allRoutes.recent.merge(slow.recent);
        add(verdict.newFigures, slow.total.allNew());
        add(verdict.oldFigures, slow.total.old);
        if (const auto median = oldMedian(m_rows, key.aspect))
            verdict.usualTime = std::max(verdict.usualTime, TimeHistogram::beginOf(*median + 1));
        if (slow.total.old.answers < minRouteAnswers)
            continue;
        const std::uint64_t answers = slow.total.allNew().answers;
        verdict.fewestAnswers = std::min(verdict.fewestAnswers, answers);
    }
    raise(verdict, allRoutes.grade(), "all routes");
    return verdict;
}

} // namespace foxtailring
