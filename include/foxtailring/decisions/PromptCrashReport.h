#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief What one process tells the others about prompt parts that may crash engines.
///
/// Times are Unix times in milliseconds: events that several processes saw are put in order.
struct PromptCrashReport
{
    /// An engine failed before it had begun to answer a request.
    struct Crash
    {
        std::string incarnation; ///< of the engine: names one start of it
        std::int64_t atMs = 0;
        std::vector<std::string> parts; ///< suspected, in the order of the prompt
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

    std::vector<Crash> crashes;
    std::vector<Start> starts;
    std::vector<Quarantine> quarantines;

    bool isEmpty() const { return crashes.empty() && starts.empty() && quarantines.empty(); }
    bool operator==(const PromptCrashReport &) const = default;
};

} // namespace foxtailring
