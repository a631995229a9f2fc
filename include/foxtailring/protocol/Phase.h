#pragma once

#include <cstdint>
#include <msgpack.hpp>

namespace foxtailring {

/// \brief Phase of an attempt at its engine.
enum class Phase : std::uint8_t {
    Queued,
    Prefill,
    Decode,
};

} // namespace foxtailring

MSGPACK_ADD_ENUM(foxtailring::Phase)
