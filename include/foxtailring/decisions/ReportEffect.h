#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief What became of a load report.
enum class ReportEffect : std::uint8_t {
    Applied,
    Stale,         ///< older than a report already applied; it counts as contact only
    UnknownServer, ///< no list has named the server yet; nothing was kept
};

} // namespace foxtailring
