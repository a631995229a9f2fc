#pragma once

#include "foxtailring/base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace foxtailring {

/// \brief Times of the latest requests to one server. Not thread-safe.
class RequestWindow
{
public:
    void record(TimePoint now);
    /// \brief Number of requests in the \a window that ends now.
    std::size_t count(Duration window, TimePoint now) const;
    /// \brief Earliest time at which one more request keeps every \a window at \a quota requests or
    /// fewer, and bursts at twice the mean rate. TimePoint::max() if \a quota is 0.
    TimePoint freeAt(std::uint32_t quota, Duration window, TimePoint now) const;
    bool isEmpty(TimePoint now) const;

private:
    std::deque<TimePoint> m_times;
};

} // namespace foxtailring
