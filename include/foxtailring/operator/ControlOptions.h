#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief Options of foxtailringctl that are not arguments of a command.
struct ControlOptions
{
    std::string filePath;              ///< resources to apply, diff or check
    bool printsJson = false;           ///< output as JSON in place of tables
    bool waitsUntilInForce = false;    ///< after a change, wait until it is in force
    bool undoesDrain = false;          ///< drain: take the server back into service
    std::int64_t revision = 0;         ///< wait: revision to wait for; 0: the present one
    std::int64_t from = 0;             ///< watch: revision after which changes are shown
    std::chrono::seconds timeout {60}; ///< wait: longest time
};

} // namespace foxtailring
