#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief How a process learned that a backend server leaves.
enum class LeavingSource : std::uint8_t {
    List,   ///< from the server's entry in the server list
    Answer, ///< from an answer of the server
};

} // namespace foxtailring
