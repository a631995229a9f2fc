#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief Result of applying a load report.
enum class ReportEffect : std::uint8_t {
    Applied,
    Stale,         ///< older than a report already applied; its load was ignored
    UnknownServer, ///< the server is not in the VM list yet; the report was dropped
};

} // namespace foxtailring
