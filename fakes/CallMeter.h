#pragma once

#include "foxtailring/base/Clock.h"

#include <cstddef>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace foxtailring::fakes {

/// \brief Counts calls by kind, and the largest number of reads and of writes in any one second.
/// Not thread-safe.
class CallMeter
{
public:
    enum class Class { Read, Write, Other };

    void add(const std::string &kind, Class callClass, TimePoint now);
    void watchOpened();
    void watchClosed();
    nlohmann::json stats() const;

private:
    /// \brief Largest number of calls in a sliding window of one second.
    struct Window
    {
        std::deque<TimePoint> recent;
        std::size_t largest = 0;

        void add(TimePoint now);
    };

    std::map<std::string, std::size_t> m_calls;
    Window m_reads;
    Window m_writes;
    std::size_t m_openWatches = 0;
    std::size_t m_largestOpenWatches = 0;
};

} // namespace foxtailring::fakes
