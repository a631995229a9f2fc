#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief Why a generation asks for a server.
enum class ServerRequestReason : std::uint8_t {
    First,  ///< no attempt was made yet
    Retry,  ///< every attempt was refused or not sent
    Resume, ///< an attempt that may have run was lost
};

} // namespace foxtailring
