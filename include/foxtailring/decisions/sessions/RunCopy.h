#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/servers/BackendState.h"
#include "foxtailring/decisions/sessions/CopyReference.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace foxtailring {

class BackendTable;
struct SendAttempt;

/// \brief Tracks the copy of a run's memory at another server and whether the run can resume from
/// it.
///
/// There is at most one copy: either a continuous one, which the run's server updates while
/// the run proceeds, or a snapshot. BackendTable counts it at the server that holds it.
class RunCopy
{
public:
    using ReleaseHook = std::function<void(const CopyReference &)>;

    /// \param release called for a snapshot that is dropped unused, unless the server that made it
    /// takes no new work; may be empty
    RunCopy(BackendTable &servers, ReleaseHook release);
    ~RunCopy();
    RunCopy(const RunCopy &) = delete;
    RunCopy &operator=(const RunCopy &) = delete;

    /// \brief The run is copied continuously to \a holder from its start; drops any earlier copy.
    void setHolder(const BackendState &holder);
    /// \brief A snapshot of the run was copied to \a holder.
    void setSnapshot(const BackendState &holder, CopyReference reference, TimePoint now);
    /// \brief A copy whose order was answered too late to use it; end() releases it.
    void addLate(CopyReference reference);
    void drop();
    /// \brief The run is over: drops the copy and releases those that came too late.
    void end();
    /// \brief True if there is a copy, and its server is not suspected, leaving, replaced or
    /// restarted.
    bool isUsable(TimePoint now) const;
    /// \brief True if the copy is a snapshot that expires soon unless it is renewed.
    bool needsRenewal(TimePoint now) const;
    const std::optional<BackendState> &holder() const { return m_holder; }
    /// \brief Returns an attempt that resumes from the copy, which is used up by that; none if it
    /// is not usable.
    std::optional<SendAttempt> takeResumeAttempt(TimePoint now);

private:
    void reset();
    void release(const CopyReference &reference) const;

    BackendTable &m_servers;
    const ReleaseHook m_releaseHook;
    std::optional<BackendState> m_holder;
    std::optional<CopyReference> m_snapshot; ///< none: the copy is continuous
    TimePoint m_snapshotAt;
    std::vector<CopyReference> m_late;
};

} // namespace foxtailring
