#pragma once

#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief Something that an operator should know about a configuration before it is sent.
struct ConfigFinding
{
    enum class Severity : std::uint8_t {
        Error,   ///< requests would fail or go where they should not
        Warning, ///< has no effect, or less than it says
    };

    Severity severity = Severity::Error;
    std::string place; ///< for instance `route "r-1"`
    std::string message;
};

} // namespace foxtailring
