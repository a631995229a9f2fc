#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief What an entry may do with a backend server.
enum class ServerStatus : std::uint8_t {
    Live,      ///< takes new work
    Leaving,   ///< finishes its work and takes no more
    Suspected, ///< silent or reset; no new work until the next contact
    Lost,      ///< given up on; no new work until the next contact
};

} // namespace foxtailring
