#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/rollouts/VersionObserver.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace foxtailring {

class RequestVersions;
struct BackendAnswer;
struct BackendInfo;

/// \brief Tells the roll-outs of one attempt at a server: when it was sent, answered and ended.
/// Without roll-outs it does nothing.
class AttemptObservation
{
public:
    AttemptObservation() = default;
    /// \brief An attempt begins. \param versions null: there are no roll-outs
    AttemptObservation(const std::shared_ptr<RequestVersions> &versions, std::string_view route,
                       const BackendInfo &server, TimePoint now);
    /// \brief An attempt without an end was abandoned.
    ~AttemptObservation();
    AttemptObservation(AttemptObservation &&other) noexcept;
    AttemptObservation &operator=(AttemptObservation &&other) noexcept;

    void recordEvent(TimePoint now);
    /// \brief A stream has ended as complete.
    void recordEnd(TimePoint now);
    /// \brief A whole answer arrived.
    void recordAnswer(const BackendAnswer &answer, TimePoint now);
    /// \brief The attempt ended without a whole answer.
    /// \param mayHaveRun a server may have executed the request
    void recordLoss(bool mayHaveRun, TimePoint now);
    /// \brief The attempt is no longer waited for.
    void abandon(TimePoint now);

private:
    void end(VersionObserver::Outcome outcome, TimePoint now);

    std::shared_ptr<RequestVersions> m_versions; ///< null: nothing to tell
    std::uint64_t m_id = 0;
    TimePoint m_lastSeenAt;
};

} // namespace foxtailring
