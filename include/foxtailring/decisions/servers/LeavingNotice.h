#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief What a backend server's answer says about whether the server leaves.
enum class LeavingNotice : std::uint8_t {
    None,
    Leaving,    ///< takes no new work and ends when its requests are finished
    Unreadable, ///< says something else; taken for neither
};

} // namespace foxtailring
