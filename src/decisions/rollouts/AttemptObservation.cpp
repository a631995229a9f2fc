#include "foxtailring/decisions/rollouts/AttemptObservation.h"

#include "foxtailring/decisions/rollouts/RequestVersions.h"
#include "foxtailring/decisions/rollouts/Rollout.h"
#include "foxtailring/decisions/servers/BackendAnswer.h"
#include "foxtailring/decisions/servers/BackendInfo.h"

#include <utility>

namespace foxtailring {

using Outcome = VersionObserver::Outcome;

AttemptObservation::AttemptObservation(const std::shared_ptr<RequestVersions> &versions,
                                       std::string_view route, const BackendInfo &server,
                                       TimePoint now)
{
    if (!versions || !versions->rollout())
        return;
    m_versions = versions;
    m_versions->recordSent(server);
    m_lastSeenAt = now;
    m_id = m_versions->rollout()->observer().begin(
        {std::string(route), server.version, server.availabilityZone, now});
}

// The time of the end is not known here, so a slow attempt does not count as one.
AttemptObservation::~AttemptObservation()
{
    end(Outcome::Abandoned, m_lastSeenAt);
}

AttemptObservation::AttemptObservation(AttemptObservation &&other) noexcept
    : m_versions(std::move(other.m_versions))
    , m_id(std::exchange(other.m_id, 0))
    , m_lastSeenAt(other.m_lastSeenAt)
{
}

AttemptObservation &AttemptObservation::operator=(AttemptObservation &&other) noexcept
{
    if (this == &other)
        return *this;
    end(Outcome::Abandoned, m_lastSeenAt);
    m_versions = std::move(other.m_versions);
    m_id = std::exchange(other.m_id, 0);
    m_lastSeenAt = other.m_lastSeenAt;
    return *this;
}

void AttemptObservation::recordEvent(TimePoint now)
{
    m_lastSeenAt = now;
    if (m_versions)
        m_versions->rollout()->observer().recordEvent(m_id, now);
}

void AttemptObservation::recordEnd(TimePoint now)
{
    end(Outcome::Answered, now);
}

void AttemptObservation::recordAnswer(const BackendAnswer &answer, TimePoint now)
{
    const bool isFailure = answer.status >= 500;
    if (answer.isNotRun || answer.isOtherServer)
        end(Outcome::NotRun, now);
    else
        end(isFailure ? Outcome::Failed : Outcome::Answered, now);
}

void AttemptObservation::recordLoss(bool mayHaveRun, TimePoint now)
{
    end(mayHaveRun ? Outcome::Failed : Outcome::NotRun, now);
}

void AttemptObservation::abandon(TimePoint now)
{
    end(Outcome::Abandoned, now);
}

void AttemptObservation::end(VersionObserver::Outcome outcome, TimePoint now)
{
    if (!m_versions)
        return;
    m_versions->rollout()->observer().end(m_id, outcome, now);
    m_versions.reset();
}

} // namespace foxtailring
