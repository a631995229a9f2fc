#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief Messages that AnswerAssembler dropped, by reason.
struct DroppedMessageCounts
{
    std::uint64_t duplicates = 0;
    std::uint64_t foreignRequests = 0;
    std::uint64_t otherAttempts = 0;
    std::uint64_t gaps = 0;
    std::uint64_t mismatches = 0;
};

} // namespace foxtailring
