#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/servers/SpeedReport.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace foxtailring {

class EngineSpeeds;
class FleetBudget;
class RandomSource;

/// \brief Decides when this process tells the others how fast engines are, and of which engines.
///
/// It tells of an engine that the others have seen few runs of, or whose known speed its own runs
/// change. A report replaces the one before it. Not thread-safe.
class SpeedPublication
{
public:
    /// \param random must live as long as the publication
    explicit SpeedPublication(RandomSource &random);

    /// \brief Returns the report to be written now, if there is one, and takes it as published. To
    /// be called a few times a second.
    std::optional<SpeedReport> takeDueReport(const EngineSpeeds &speeds, const FleetBudget &budget,
                                             TimePoint now);
    /// \brief The report may be missing in the store: it is written again although nothing has
    /// changed.
    void onNotPublished() { m_isRepeating = true; }
    /// \brief Number of engines in the latest report.
    std::size_t publishedCount() const { return m_published.readings.size(); }

private:
    struct Candidate
    {
        SpeedReading reading;
        std::uint32_t otherRuns = 0; ///< that other processes observed
        bool isPublished = false;    ///< an earlier reading of the engine
        bool isNews = false;
    };
    struct Draft
    {
        SpeedReport report;
        bool hasNews = false;
    };

    Draft draft(const EngineSpeeds &speeds, std::size_t processes) const;
    std::vector<Candidate> candidates(const EngineSpeeds &speeds) const;
    bool isDue(const Draft &draft) const;
    Duration randomDelay(Duration bound);

    RandomSource &m_random;
    SpeedReport m_published;
    bool m_isRepeating = false;
    TimePoint m_lookAt; ///< own readings are not looked through before
    std::optional<TimePoint> m_writeAt;
};

} // namespace foxtailring
