#pragma once

#include "Caller.h"
#include "SystemFixture.h"

#include <functional>
#include <vector>

namespace foxtailring::harness {

/// \brief One request to a newly started system, with faults injected at given tokens of the
/// answer.
class AnswerRound
{
public:
    /// \brief A fault that is injected once the caller has \a atTokenCount tokens.
    struct FaultInjection
    {
        std::size_t atTokenCount = 0;
        std::function<void(AnswerRound &)> inject;
    };

    AnswerRound(SystemOptions options, CallerOptions request);

    SystemFixture &system() { return m_system; }
    /// \brief The server that ran the generation when this was first called.
    ServerVm &initialServer();
    /// \brief The server that runs the generation now. Throws std::logic_error when none knows it.
    ServerVm &currentServer();
    /// \brief Streams the answer and injects the faults, which are ordered by token. Throws
    /// std::runtime_error when the answer ends before one of them.
    const Answer &run(const std::vector<FaultInjection> &injections);

private:
    SystemFixture m_system;
    Caller m_caller;
    ServerVm *m_initialServer = nullptr;
};

} // namespace foxtailring::harness
