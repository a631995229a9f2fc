#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief What one process tells the others about prompt parts that may crash engines.
///
/// Times are milliseconds of a clock of the reporter that goes on evenly. It shows about the Unix
/// time, which versions before Dating rely on.
struct PromptCrashReport
{
    /// An engine failed before it had begun to answer a request.
    struct Crash
    {
        std::string incarnation; ///< of the engine: names one start of it
        std::int64_t atMs = 0;
        std::vector<std::string> parts; ///< suspected, in the order of the prompt
        bool isZoneFailure = false;     ///< most of its zone failed with it
        bool operator==(const Crash &) const = default;
    };

    /// An engine began to answer a request that has the part, and went on.
    struct Start
    {
        std::string part;
        std::int64_t atMs = 0;
        bool operator==(const Start &) const = default;
    };

    /// Requests that have the part are rejected.
    struct Quarantine
    {
        std::string part;
        std::int64_t sinceMs = 0;
        std::int64_t untilMs = 0;
        bool operator==(const Quarantine &) const = default;
    };

    /// Tells how the times of the report relate to the times of its readers.
    struct Dating
    {
        std::int64_t clockId = 0; ///< changes when the clock of the reporter is set anew
        std::int64_t sentMs = 0;  ///< when the report was made
        bool operator==(const Dating &) const = default;
    };

    std::vector<Crash> crashes;
    std::vector<Start> starts;
    std::vector<Quarantine> quarantines;
    std::optional<Dating> dating; ///< none: of a version before it

    bool isEmpty() const { return crashes.empty() && starts.empty() && quarantines.empty(); }
    bool operator==(const PromptCrashReport &) const = default;
};

} // namespace foxtailring
