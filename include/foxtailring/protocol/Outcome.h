#pragma once

#include <cstdint>
#include <msgpack.hpp>

namespace foxtailring {

/// \brief Outcome of a call to a plain service.
enum class Outcome : std::uint8_t {
    Done,    ///< it ran; status and body come from the backend server
    NotRun,  ///< neither this call nor one with its idempotency key reached a backend server
    Unknown, ///< it may have run; it is never retried
};

} // namespace foxtailring

MSGPACK_ADD_ENUM(foxtailring::Outcome)
