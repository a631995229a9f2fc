#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief Why a generation requests a server.
enum class ServerRequestReason : std::uint8_t {
    First,  ///< it has made no attempt yet
    Retry,  ///< all its attempts were refused or not sent, so none has run
    Resume, ///< an attempt that may have run was lost
};

} // namespace foxtailring
