#pragma once

#include "foxtailring/protocol/MessageType.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace foxtailring {

/// \brief Sidecar to entry: the answer is complete.
struct Finished
{
    static constexpr MessageType type = MessageType::Finished;

    std::string requestId;
    std::uint32_t attempt = 0;
    std::uint64_t totalTokens = 0; ///< tokens of the whole answer, prefix included
    std::string reason;            ///< finish_reason of the OpenAI API: stop or length

    MSGPACK_DEFINE_MAP(requestId, attempt, totalTokens, reason)
};

} // namespace foxtailring
