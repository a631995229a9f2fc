#pragma once

#include "Caller.h"
#include "SystemFixture.h"

#include <functional>
#include <vector>

namespace foxtailring::harness {

/// \brief One request of one caller to a fresh system, with faults at given tokens of the answer.
class AnswerRound
{
public:
    /// \brief A fault that is brought about when the caller has that many tokens.
    struct FaultInjection
    {
        std::size_t atTokenCount = 0;
        std::function<void(AnswerRound &)> inject;
    };

    AnswerRound(SystemOptions options, CallerOptions request);

    SystemFixture &system() { return m_system; }
    /// \brief The server that runs the generation at the first strike.
    ServerVm &initialServer();
    /// \brief The server that runs it now.
    ServerVm &currentServer();
    /// \brief Streams the answer and brings the faults about, in the order of their tokens. Throws
    /// std::runtime_error when one was not reached.
    const Answer &run(const std::vector<FaultInjection> &injections);

private:
    SystemFixture m_system;
    Caller m_caller;
    ServerVm *m_initialServer = nullptr;
};

} // namespace foxtailring::harness
