#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief What the start time in a server's report says about the server.
enum class ReportedStart : std::uint8_t {
    Accepted,    ///< nothing speaks against the entry
    Unconfirmed, ///< a later start than the entry's; one report alone may be wrong
    Restarted,   ///< the server has restarted since its entry was written
};

} // namespace foxtailring
