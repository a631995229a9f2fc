#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace foxtailring {

/// \brief One attempt of one request.
struct AttemptId
{
    std::string requestId;
    std::uint32_t attempt = 0;

    // Not defaulted as <=>: clang-tidy 14 reports the comparison with zero that it generates.
    friend bool operator<(const AttemptId &a, const AttemptId &b)
    {
        return std::tie(a.requestId, a.attempt) < std::tie(b.requestId, b.attempt);
    }
};

} // namespace foxtailring
