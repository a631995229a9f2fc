#pragma once

#include <cstdint>
#include <msgpack.hpp>

namespace foxtailring {

/// \brief What became of a plain call.
enum class Outcome : std::uint8_t {
    Done,    ///< it ran; status and body are the backend server's
    NotRun,  ///< it was never sent to a backend server, now or under the same key before
    Unknown, ///< it may have run; it is never sent again
};

} // namespace foxtailring

MSGPACK_ADD_ENUM(foxtailring::Outcome)
