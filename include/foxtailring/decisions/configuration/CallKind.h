#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief Whether a request may be retried, and how its answer arrives.
enum class CallKind : std::uint8_t {
    Idempotent,    ///< may be executed more than once
    NonIdempotent, ///< executed at most once
    Stream,        ///< answered by numbered events; resumable only if the route allows it
};

} // namespace foxtailring
