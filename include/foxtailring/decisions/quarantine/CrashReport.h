#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief What one process tells the others about prompt parts and requests that may crash servers.
///
/// Times are milliseconds of a clock of the reporter that goes on evenly. It shows about the Unix
/// time, which versions before Dating rely on.
struct CrashReport
{
    using Indexes = std::vector<std::size_t>; ///< of suspects of a crash, in ascending order

    /// A server failed before it had begun to answer a request.
    struct Crash
    {
        std::string incarnation; ///< of the server: names one start of it
        std::int64_t atMs = 0;
        std::vector<std::string> suspects; ///< the most specific ones last
        bool isZoneFailure = false;        ///< most of its zone failed with it
        std::string service;               ///< of the server; empty: of a version before it
        /// The suspects of each request that has others beside it; empty: any may be of one.
        std::vector<Indexes> requests;
        /// Suspects of a zone failure for which it is one only until they are at another crash.
        Indexes oneLossSuspects;
        bool operator==(const Crash &) const = default;
    };

    /// A server answered, or began to answer and went on with, a request that has the suspect.
    struct Start
    {
        std::string suspect;
        std::int64_t atMs = 0;
        bool operator==(const Start &) const = default;
    };

    /// Requests that have the suspect are rejected.
    struct Quarantine
    {
        std::string suspect;
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
    bool operator==(const CrashReport &) const = default;
};

} // namespace foxtailring
