#include "AnswerRound.h"

#include <stdexcept>

namespace foxtailring::harness {

AnswerRound::AnswerRound(SystemOptions options, CallerOptions request)
    : m_system(std::move(options))
    , m_caller(m_system, std::move(request))
{
}

ServerVm &AnswerRound::victim()
{
    if (!m_victim)
        m_victim = &runner();
    return *m_victim;
}

ServerVm &AnswerRound::runner()
{
    ServerVm *found = m_system.engineOf(m_caller.answer().tag());
    if (!found)
        throw std::logic_error("no engine knows generation " + m_caller.answer().tag());
    return *found;
}

const Answer &AnswerRound::run(const std::vector<Strike> &strikes)
{
    std::size_t next = 0;
    m_caller.onToken([&](std::size_t tokens) {
        while (next < strikes.size() && tokens >= strikes[next].atToken)
            strikes[next++].action(*this);
    });
    const Answer &answer = m_caller.run();
    if (next < strikes.size())
        throw std::runtime_error("the answer ended before token "
                                 + std::to_string(strikes[next].atToken) + ": " + answer.problem);
    return answer;
}

} // namespace foxtailring::harness
