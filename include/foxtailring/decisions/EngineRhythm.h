#pragma once

#include "foxtailring/base/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief How fast the engines of each service read prompts and produce events, as observed.
///
/// Tells a server that is silent from one that works on a long prompt. Not thread-safe.
class EngineRhythm
{
public:
    /// \brief The first event of a run came \a took after it was sent.
    void firstEvent(std::string_view service, std::uint64_t promptTokens, Duration took);
    /// \brief Longest time to the first event that is still usual for a prompt of this size.
    Duration usualFirstEvent(std::string_view service, std::uint64_t promptTokens) const;

private:
    struct Rate
    {
        double perToken = 0; ///< seconds, mean of the recent runs
        double spread = 0;   ///< seconds, mean distance from the mean
        bool isKnown = false;
    };

    std::map<std::string, Rate, std::less<>> m_rates;
};

} // namespace foxtailring
