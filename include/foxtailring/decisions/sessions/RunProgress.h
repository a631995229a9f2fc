#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/sessions/TypicalInterval.h"

#include <cstdint>
#include <optional>

namespace foxtailring {

struct HttpRoute;
struct ServerProbeResult;

/// \brief Tracks the events and signs of life of a run's current attempt, and tells when the
/// attempt counts as silent or stuck.
class RunProgress
{
public:
    /// \param route must outlive the progress
    explicit RunProgress(const HttpRoute &route);

    /// \brief A new attempt is sent.
    /// \param isResumed it resumes from a copy
    void start(bool isResumed, TimePoint now);
    /// \brief The next event of the attempt arrived.
    void recordEvent(TimePoint now);
    /// \brief Bytes of an event arrived that is not complete yet.
    void recordPartialEvent(TimePoint now) { m_partialEventAt = now; }
    /// \brief The server of the attempt showed that it works.
    void recordContact(TimePoint now) { m_lastContactAt = now; }
    /// \brief The server reported that the run may wait until it is processed again.
    void recordWaiting(TimePoint now) { m_waitingAt = now; }
    /// \brief The server reported this many prompts that it processes or that wait.
    void recordPrompts(std::uint32_t prompts);

    /// \brief Number of events of the attempt that were passed on.
    std::uint32_t eventCount() const { return m_eventCount; }
    bool hasEvents() const { return m_eventCount > 0; }
    /// \brief True if the server still processes the whole prompt, as far as is known.
    bool isPrefilling() const { return !hasEvents() && !m_isResumed; }
    TimePoint lastContactAt() const { return m_lastContactAt; }
    /// \brief Moving average over all attempts of the run; 0: unknown.
    Duration meanEventInterval() const { return m_meanEventInterval; }
    /// \brief Typical time between events of the attempt; given once, by the event that completes
    /// what is needed to know it.
    std::optional<Duration> newTypicalInterval() const;

    /// \brief Time without contact after which the server is probed.
    Duration silenceThreshold() const;
    /// \brief When the attempt is given up although its server answers probes.
    /// \param maxFirstEventDelay time after which the first event is unusually late; only used
    /// during the prefill
    TimePoint stuckAt(TimePoint sentAt, Duration maxFirstEventDelay) const;
    /// \brief True if \a report shows events that did not arrive, or no longer has the run.
    /// \param lastEventId latest event that arrived, of any attempt; 0: none
    /// \param probedAt when the report was asked for
    bool isLostBy(const ServerProbeResult &report, std::int64_t lastEventId, TimePoint probedAt,
                  TimePoint now) const;
    /// \brief True if a run that \a report does not list may wait at the server, or have its prompt
    /// processed there.
    static bool mayWaitUnlisted(const ServerProbeResult &report);

private:
    bool isMissingFrom(const ServerProbeResult &report, TimePoint probedAt) const;

    const HttpRoute *m_route; ///< a pointer, so that a progress can be assigned
    bool m_isResumed = false;
    TimePoint m_startedAt;
    std::uint32_t m_eventCount = 0;
    TimePoint m_firstEventAt;
    TimePoint m_lastEventAt;
    TimePoint m_partialEventAt; ///< latest bytes of an incomplete event
    TimePoint m_lastContactAt;
    TimePoint m_waitingAt; ///< latest report that the run may wait
    std::uint32_t m_maxPromptsAhead = 0;
    Duration m_meanEventInterval {0};
    TypicalInterval m_typicalInterval; ///< of the attempt
};

} // namespace foxtailring
