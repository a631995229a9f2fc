#pragma once

#include <cstdint>
#include <string_view>

namespace foxtailring {

/// \brief What shows that a server crashed.
enum class CrashEvidence : std::uint8_t {
    Reset,     ///< the connection ended before the answer began
    Restarted, ///< a later start of the server is known
    Lapsed,    ///< its entry was removed while the list could be read
    Silent,    ///< it was silent for longer than a sound server, and a later probe got no answer
    Reported,  ///< by another process
};

constexpr std::string_view crashEvidenceName(CrashEvidence evidence)
{
    switch (evidence) {
    case CrashEvidence::Reset:
        return "reset";
    case CrashEvidence::Restarted:
        return "restarted";
    case CrashEvidence::Lapsed:
        return "lapsed";
    case CrashEvidence::Silent:
        return "silent";
    case CrashEvidence::Reported:
        return "reported";
    }
    return "unknown";
}

} // namespace foxtailring
