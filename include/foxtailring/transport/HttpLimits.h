#pragma once

#include <chrono>
#include <cstddef>

namespace foxtailring {

/// \brief Limits that an HTTP server applies to requests.
struct HttpLimits
{
    std::size_t maxHeaderBytes = 32 * 1024;
    std::size_t maxBodyBytes = 8 * 1024 * 1024;
    /// Longest time without input, or without output progress after a complete response.
    std::chrono::milliseconds idleTimeout {60'000};
    /// Longest time from the first bytes of a head to its end.
    std::chrono::milliseconds headerTimeout {60'000};

    bool operator==(const HttpLimits &) const = default;
};

} // namespace foxtailring
