#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief Type byte of a frame. The values are part of the protocol: never reuse or renumber them.
enum class MessageType : std::uint8_t {
    StartAttempt = 1,
    Attach = 2,
    Ack = 3,
    Cancel = 4,
    Accepted = 5,
    Progress = 6,
    Tokens = 7,
    Finished = 8,
    Refused = 9,
    Failed = 10,
    FindGeneration = 11,
    GenerationRecord = 12,
    Call = 13,
    CallResult = 14,
    WatchReports = 15,
    LoadReport = 16,
    ConfigUpdate = 17,
    ConfigAck = 18,
};

} // namespace foxtailring
