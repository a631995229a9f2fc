#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief What may be repeated of a request, and how its answer arrives.
enum class CallKind : std::uint8_t {
    Idempotent,    ///< may run more than once
    NonIdempotent, ///< runs at most once
    Stream,        ///< answered by numbered events; resumable only where its route says so
};

} // namespace foxtailring
