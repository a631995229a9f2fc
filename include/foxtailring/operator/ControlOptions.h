#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief Flags of foxtailringctl that apply to its commands.
struct ControlOptions
{
    std::string filePath;              ///< file with the resources to apply, diff or check
    bool printsJson = false;           ///< print JSON instead of tables
    bool waitsUntilInForce = false;    ///< after a change, wait until every node has it
    bool undoesDrain = false;          ///< drain: put the server back into service
    std::int64_t revision = 0;         ///< wait: revision to wait for; 0: the current one
    std::int64_t from = 0;             ///< watch: show changes after this revision
    std::chrono::seconds timeout {60}; ///< wait: maximum time
};

} // namespace foxtailring
