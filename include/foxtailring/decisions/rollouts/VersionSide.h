#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief Versions of a service among which a server is chosen.
enum class VersionSide : std::uint8_t {
    Any,
    New, ///< the version that the order names
    Old, ///< all others that are not refused
};

} // namespace foxtailring
