#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace foxtailring {

/// \brief One token of an answer.
struct Token
{
    std::int64_t id = 0; ///< in the engine's vocabulary
    std::string text;    ///< UTF-8; may hold an incomplete character

    MSGPACK_DEFINE_MAP(id, text)
};

} // namespace foxtailring
