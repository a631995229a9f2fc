#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/Error.h"
#include "foxtailring/decisions/ServerRequestReason.h"
#include "foxtailring/protocol/Token.h"

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace foxtailring {

/// \brief What the caller of GenerationSession has to do, in the order returned.
struct GenerationAction
{
    /// Answer with onServerChosen() or onNoServer().
    struct ChooseServer
    {
        ServerRequestReason reason = ServerRequestReason::First;
        std::set<std::string> excluded; ///< servers that failed or refused this request
    };
    struct Start
    {
        std::uint32_t attempt = 0;
        std::string server;
        std::vector<Token> prefix; ///< exactly the tokens of the answer so far
    };
    struct Attach
    {
        std::uint32_t attempt = 0;
        std::string server;
        std::uint64_t fromOffset = 0;
        bool newConnection = false; ///< the present connection is suspected
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
    /// Tokens that the caller does not have.
    struct Emit
    {
        std::uint64_t offset = 0; ///< of the first token
        std::vector<Token> tokens;
    };
    /// The caller has every token; the attempt's journal may go once they are delivered.
    struct Complete
    {
        std::uint32_t attempt = 0;
        std::uint64_t totalTokens = 0;
        std::string reason; ///< finish_reason of the OpenAI API
    };
    struct Fail
    {
        Error error;
        bool notRun = false;                      ///< guaranteed: nothing was passed to an engine
        std::chrono::milliseconds retryAfter {0}; ///< 0: no advice
    };
    /// The caller is gone and may come back: the attempt goes on at its sidecar.
    struct Detach
    {
    };
    /// Replaces an earlier tick.
    struct ScheduleTick
    {
        TimePoint at;
    };

    using Any = std::variant<ChooseServer, Start, Attach, Cancel, Ack, Emit, Complete, Fail, Detach,
                             ScheduleTick>;
};

using GenerationActions = std::vector<GenerationAction::Any>;

} // namespace foxtailring
