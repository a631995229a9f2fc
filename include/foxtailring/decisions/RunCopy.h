#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/BackendState.h"
#include "foxtailring/decisions/CopyReference.h"

#include <functional>
#include <optional>
#include <string>

namespace foxtailring {

class BackendTable;
struct SendAttempt;

/// \brief The copy of one run: where it lies, and whether the run can go on from it.
///
/// Counts itself at the server that keeps it.
class RunCopy
{
public:
    using ReleaseHook = std::function<void(const CopyReference &)>;

    /// \param release called for an ordered copy that is dropped unused; may be empty
    RunCopy(BackendTable &servers, ReleaseHook release);
    ~RunCopy();
    RunCopy(const RunCopy &) = delete;
    RunCopy &operator=(const RunCopy &) = delete;

    /// \brief \a holder gets what the run makes, from its start on.
    void startContinuous(const BackendState &holder);
    /// \brief \a holder got what the run had made so far.
    void setSnapshot(const BackendState &holder, CopyReference name, TimePoint now);
    void drop();
    /// \brief The server that keeps the copy is sound and stays.
    bool isUsable(TimePoint now) const;
    /// \brief The copy was ordered, and lapses unless it is ordered again.
    bool needsRenewal(TimePoint now) const;
    const std::optional<BackendState> &holder() const { return m_holder; }
    /// \brief Attempt that goes on from the copy, which is used up; none when it is not usable.
    std::optional<SendAttempt> takeResumeAttempt(TimePoint now);

private:
    void reset();

    BackendTable &m_servers;
    const ReleaseHook m_releaseHook;
    std::optional<BackendState> m_holder;
    std::optional<CopyReference> m_snapshot; ///< none: the copy grows by itself
    TimePoint m_snapshotAt;
};

} // namespace foxtailring
