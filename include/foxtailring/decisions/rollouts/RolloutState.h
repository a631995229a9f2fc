#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief How far a roll-out has come.
enum class RolloutState : std::uint8_t {
    Serving,    ///< both versions get requests
    Completed,  ///< only the new version gets requests
    RolledBack, ///< the new version gets no requests
};

} // namespace foxtailring
