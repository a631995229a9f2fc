#pragma once

#include "foxtailring/base/Clock.h"

#include <array>
#include <cstddef>

namespace foxtailring {

/// \brief The median of the first intervals between the events of an attempt.
class TypicalInterval
{
public:
    /// \brief Number of intervals that are taken.
    static constexpr std::size_t count = 32;

    /// \brief Takes the next interval; those after the first \a count are ignored.
    void add(Duration interval);
    /// \brief True from the moment on at which \a count intervals were taken.
    bool isComplete() const { return m_taken == count; }
    /// \brief The median; isComplete() must hold.
    Duration median() const;

private:
    std::array<Duration, count> m_intervals {};
    std::size_t m_taken = 0;
};

} // namespace foxtailring
