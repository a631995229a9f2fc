#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/RandomSource.h"

#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>

namespace foxtailring::fakes {

/// \brief Numbered events that become visible late and of which some are lost. Not thread-safe.
class EventFeed
{
public:
    EventFeed(Duration lag, double loss, std::uint64_t seed);

    /// \brief Numbers \a event; it is lost with the given probability, which leaves a gap.
    void add(TimePoint now, nlohmann::json event);
    /// \brief `{"events":[{"sequence",..}],"last"}`: visible events numbered above \a after.
    nlohmann::json after(TimePoint now, std::uint64_t after) const;

private:
    struct Entry
    {
        TimePoint visibleAt;
        std::uint64_t sequence = 0;
        nlohmann::json event;
    };

    Duration m_lag;
    double m_loss;
    RandomSource m_random;
    std::uint64_t m_last = 0;
    std::deque<Entry> m_entries;
};

} // namespace foxtailring::fakes
