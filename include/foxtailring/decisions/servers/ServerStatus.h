#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief Status of a backend server at one entry.
enum class ServerStatus : std::uint8_t {
    Live,      ///< takes new work
    Leaving,   ///< finishes its work and takes no more
    Suspected, ///< silent or its stream was reset; no new work until the next contact
    Lost,      ///< reattaching failed as well; no new work until the next contact
};

} // namespace foxtailring
