#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/BackendState.h"
#include "foxtailring/decisions/CopyName.h"

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
    using ReleaseHook = std::function<void(const CopyName &)>;

    /// \param release called for an ordered copy that is dropped unused; may be empty
    RunCopy(BackendTable &servers, ReleaseHook release);
    ~RunCopy();
    RunCopy(const RunCopy &) = delete;
    RunCopy &operator=(const RunCopy &) = delete;

    /// \brief \a keeper gets what the run makes, from its start on.
    void grow(const BackendState &keeper);
    /// \brief \a keeper got what the run had made so far.
    void place(const BackendState &keeper, CopyName name, TimePoint now);
    void drop();
    /// \brief The server that keeps the copy is sound and stays.
    bool isUsable(TimePoint now) const;
    /// \brief The copy was ordered, and lapses unless it is ordered again.
    bool isAgeing(TimePoint now) const;
    const std::optional<BackendState> &keeper() const { return m_keeper; }
    /// \brief Attempt that goes on from the copy, which is used up; none when it is not usable.
    std::optional<SendAttempt> take(TimePoint now);

private:
    void forget();

    BackendTable &m_servers;
    const ReleaseHook m_release;
    std::optional<BackendState> m_keeper;
    std::optional<CopyName> m_ordered; ///< none: the copy grows by itself
    TimePoint m_placedAt;
};

} // namespace foxtailring
