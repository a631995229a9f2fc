#pragma once

#include "foxtailring/protocol/MessageType.h"
#include "foxtailring/protocol/Token.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief Sidecar to entry: consecutive tokens of the answer.
struct Tokens
{
    static constexpr MessageType type = MessageType::Tokens;

    std::string requestId;
    std::uint32_t attempt = 0;
    std::uint64_t offset = 0; ///< index of the first token in the whole answer
    std::vector<Token> tokens;

    MSGPACK_DEFINE_MAP(requestId, attempt, offset, tokens)
};

} // namespace foxtailring
