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
    struct Strike
    {
        std::size_t atToken = 0;
        std::function<void(AnswerRound &)> action;
    };

    AnswerRound(SystemOptions options, CallerOptions request);

    SystemFixture &system() { return m_system; }
    /// \brief The server that runs the generation at the first strike.
    ServerVm &victim();
    /// \brief The server that runs it now.
    ServerVm &runner();
    /// \brief Streams the answer and brings the faults about, in the order of their tokens. Throws
    /// std::runtime_error when one was not reached.
    const Answer &run(const std::vector<Strike> &strikes);

private:
    SystemFixture m_system;
    Caller m_caller;
    ServerVm *m_victim = nullptr;
};

} // namespace foxtailring::harness
