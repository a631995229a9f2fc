#pragma once

#include <chrono>
#include <cstddef>
#include <string>

namespace foxtailring::fakes {

/// \brief Settings of the plain service stand-in.
struct ServiceOptions
{
    std::string name = "service"; ///< returned in each answer
    std::size_t slots = 16;
    std::chrono::milliseconds delay {0}; ///< time that a call takes
    std::chrono::milliseconds loadLag {0};
    bool checkFencing = false;
};

} // namespace foxtailring::fakes
