#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/Error.h"
#include "foxtailring/decisions/limits/ServerRequestReason.h"
#include "foxtailring/protocol/Token.h"

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace foxtailring {

/// \brief Actions for the owner of a GenerationSession, to be performed in the order returned.
struct GenerationAction
{
    /// Reply with onServerChosen() or onNoServer().
    struct ChooseServer
    {
        ServerRequestReason reason = ServerRequestReason::First;
        std::set<std::string> excluded; ///< servers that failed or refused this request
    };
    struct Start
    {
        std::uint32_t attempt = 0;
        std::string server;
        std::vector<Token> prefix; ///< all tokens of the answer so far
    };
    struct Attach
    {
        std::uint32_t attempt = 0;
        std::string server;
        std::uint64_t fromOffset = 0;
        bool newConnection = false; ///< the current connection may be broken
    };
    struct Cancel
    {
        std::uint32_t attempt = 0;
        std::string reason;
    };
    struct Ack
    {
        std::uint32_t attempt = 0;
        std::uint64_t nextOffset = 0;
    };
    /// Send tokens that the caller does not have yet.
    struct Emit
    {
        std::uint64_t offset = 0; ///< of the first token
        std::vector<Token> tokens;
    };
    /// The answer is complete. The attempt's journal may be released once the caller has all
    /// tokens.
    struct Complete
    {
        std::uint32_t attempt = 0;
        std::uint64_t totalTokens = 0;
        std::string reason; ///< finish_reason of the OpenAI API
    };
    struct Fail
    {
        Error error;
        bool notRun = false;                      ///< true only if no engine received the request
        std::chrono::milliseconds retryAfter {0}; ///< 0: unknown
    };
    /// The caller disconnected and may return: the attempt continues at its sidecar.
    struct Detach
    {
    };
    /// Call tick() at this time. Replaces an earlier ScheduleTick.
    struct ScheduleTick
    {
        TimePoint at;
    };

    using Any = std::variant<ChooseServer, Start, Attach, Cancel, Ack, Emit, Complete, Fail, Detach,
                             ScheduleTick>;
};

using GenerationActions = std::vector<GenerationAction::Any>;

} // namespace foxtailring
