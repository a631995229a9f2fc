#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief What a version's servers answered, over all routes.
struct VersionFigures
{
    std::uint64_t answers = 0; ///< including failures
    std::uint64_t failures = 0;
    std::uint64_t slow = 0; ///< several times slower than usual

    bool operator==(const VersionFigures &) const = default;
};

} // namespace foxtailring
