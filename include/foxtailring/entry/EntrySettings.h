#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/generation/GenerationSessionSettings.h"
#include "foxtailring/transport/Endpoint.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace foxtailring {

class SettingsReader;

/// \brief Settings of one entry process.
struct EntrySettings
{
    std::string nodeId;
    std::string region;
    std::string availabilityZone;
    Endpoint listen;
    Endpoint admin;
    Endpoint platform;
    std::string secret; ///< signs resume tokens; the same at every entry
    std::size_t threads = 4;

    GenerationSessionSettings session;
    /// A second, for each live server of a service, over all entries.
    double resumesPerServer = 10;
    /// A caller may set an earlier one with `Prefer: wait=SECONDS`.
    std::chrono::milliseconds generationDeadline {3'600'000};
    std::chrono::milliseconds callDeadline {30'000};
    std::chrono::milliseconds recordTimeout {300}; ///< for the soft record of an idempotency key
    /// Between the last byte of an answer and the release of its journal, for a caller whose
    /// connection was cut at the end.
    std::chrono::milliseconds finalAckDelay {1500};
    std::uint32_t defaultMaxTokens = 1024;
    std::uint32_t maxTokensLimit = 131'072;
    std::size_t requestBodyBytes = 8 * 1024 * 1024;
    /// Unsent bytes at which a streamed answer is cut; its caller can come back for the rest.
    std::size_t callerBufferBytes = 4 * 1024 * 1024;

    std::chrono::milliseconds vmListInterval {2000};
    /// A connection can go silent for good, and a watch without changes is silent anyway: opening a
    /// new one bounds how late a change is seen, at one call of the platform's service each time.
    std::chrono::milliseconds watchRenewal {4000};
    std::chrono::milliseconds reportInterval {500};
    std::size_t subsetSize = 8;       ///< servers followed for each service in the own region
    std::size_t remoteSubsetSize = 2; ///< and in each other region, for the loss of the own one

    std::chrono::milliseconds retryAfter {1000}; ///< advice when nothing better is known
    /// Between "not ready" and the first refusal, so that the balancer notices.
    std::chrono::milliseconds drainDelay {2000};
    std::chrono::milliseconds drainLimit {60'000}; ///< for requests in progress

    /// \brief Reads a YAML file. The error lists every fault, one a line.
    static Result<EntrySettings> fromFile(const std::string &path);
    /// \brief Reads every key and calls finish().
    static Result<EntrySettings> read(SettingsReader &reader);
};

} // namespace foxtailring
