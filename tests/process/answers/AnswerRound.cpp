#include "AnswerRound.h"

#include <stdexcept>

namespace foxtailring::harness {

AnswerRound::AnswerRound(SystemOptions options, CallerOptions request)
    : m_system(std::move(options))
    , m_caller(m_system, std::move(request))
{
}

ServerVm &AnswerRound::initialServer()
{
    if (!m_initialServer)
        m_initialServer = &currentServer();
    return *m_initialServer;
}

ServerVm &AnswerRound::currentServer()
{
    ServerVm *engine = m_system.findEngine(m_caller.answer().generationTag());
    if (!engine)
        throw std::logic_error("no engine knows generation " + m_caller.answer().generationTag());
    return *engine;
}

const Answer &AnswerRound::run(const std::vector<FaultInjection> &injections)
{
    std::size_t next = 0;
    m_caller.onToken([&](std::size_t tokens) {
        while (next < injections.size() && tokens >= injections[next].atTokenCount)
            injections[next++].inject(*this);
    });
    const Answer &answer = m_caller.run();
    if (next < injections.size())
        throw std::runtime_error("the answer ended before token "
                                 + std::to_string(injections[next].atTokenCount) + ": "
                                 + answer.problem);
    return answer;
}

} // namespace foxtailring::harness
