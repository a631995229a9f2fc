#pragma once

#include "foxtailring/decisions/servers/BackendInfo.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace foxtailring {

/// \brief What is known of the circumstances in which a server failed.
struct CrashVerdict
{
    enum class Kind : std::uint8_t {
        Alone,  ///< others in its zone work, or too few could be asked
        Common, ///< most of those asked in its zone have failed, too
        Alive,  ///< it works, in the same start
    };

    /// Two thirds: a few servers of a zone may be down for other reasons, also because of the
    /// prompt.
    static bool areMost(std::size_t count, std::size_t all) { return 3 * count >= 2 * all; }

    Kind kind = Kind::Alone;
    std::size_t askedPeers = 0;           ///< in its zone
    std::vector<BackendInfo> failedPeers; ///< of those; Common: most of them
};

} // namespace foxtailring
