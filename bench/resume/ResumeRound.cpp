#include "ResumeRound.h"

#include "Caller.h"
#include "DirectCaller.h"
#include "TokenTimes.h"

#include <optional>
#include <stdexcept>

namespace foxtailring::bench {

namespace {

using namespace harness;

constexpr double tokenMs = 10;
constexpr std::size_t promptChars = 2000;

ServerVm &engineOf(SystemFixture &system, const Answer &answer)
{
    ServerVm *engine = system.findEngine(answer.generationTag());
    if (!engine)
        throw std::runtime_error("no engine knows generation " + answer.generationTag());
    return *engine;
}

// When a caller that starts again has as many tokens as before the failure.
class Recovery
{
public:
    void addToken(std::size_t tokens, bool isFirstConnection)
    {
        if (isFirstConnection)
            m_before = tokens;
        else if (!m_end && tokens >= m_before)
            m_end = std::chrono::steady_clock::now();
    }
    void setFailure() { m_failure = std::chrono::steady_clock::now(); }
    bool hasFailure() const { return m_failure.has_value(); }
    bool hasEnd() const { return m_failure && m_end; }
    double milliseconds() const { return hasEnd() ? toMilliseconds(*m_end - *m_failure) : 0; }

private:
    std::size_t m_before = 0;
    std::optional<TimePoint> m_failure;
    std::optional<TimePoint> m_end;
};

} // namespace

ResumeRound::ResumeRound(const Failure &failure, std::size_t atToken)
    : m_failure(failure)
    , m_atToken(atToken)
    , m_system(systemOptions())
    , m_meter(m_system)
{
}

SystemOptions ResumeRound::systemOptions()
{
    SystemOptions options;
    options.tokenMs = tokenMs;
    return options;
}

// Prompts with different starts share no cached prefix.
CallerOptions ResumeRound::request(const std::string &name)
{
    CallerOptions options;
    options.maxTokens = tokens;
    options.prompt = name;
    while (options.prompt.size() < promptChars)
        options.prompt += " condition of the reach";
    options.prompt.resize(promptChars);
    return options;
}

RoundResult ResumeRound::run()
{
    Caller caller(m_system, request("resumed"));
    TokenTimes times;
    bool isInjected = !m_failure.inject;
    caller.onToken([&](std::size_t count) {
        times.addToken();
        if (!m_failure.inject || times.hasFailure() || count < m_atToken)
            return;
        ServerVm &victim = engineOf(m_system, caller.answer());
        if (m_failure.isEngine)
            m_meter.keep(victim);
        times.setFailure();
        m_failure.inject(m_system, victim);
        isInjected = true;
    });
    const Answer &answer = caller.run();
    const double wait = m_failure.isImmediate ? times.longestGap() : times.untilContinued();
    // Callers take an exception of the hook for a cut connection and go on.
    const std::string fault = isInjected ? "" : "the failure was not injected";
    return {wait, m_meter.finalWork(), answer.errorUnlessComplete(tokens).value_or(fault)};
}

RoundResult ResumeRound::runDirect()
{
    std::vector<ServerVm *> engines;
    for (std::size_t index = 0; index < m_system.engineCount(); ++index) {
        if (!m_meter.isKept(m_system.engine(index)))
            engines.push_back(&m_system.engine(index));
    }
    ServerVm &first = *engines.at(0);
    const Work before = m_meter.work();
    DirectCaller caller({first.backend->port(), engines.at(1)->backend->port()},
                        request("started again"));
    Recovery recovery;
    caller.onToken([&](std::size_t count) {
        recovery.addToken(count, caller.connections() == 1);
        if (recovery.hasFailure() || count < m_atToken)
            return;
        m_meter.keep(first);
        recovery.setFailure();
        m_failure.inject(m_system, first);
    });
    const bool isWhole = caller.run() && recovery.hasEnd();
    return {recovery.milliseconds(), m_meter.finalWork() - before,
            isWhole ? "" : "no whole answer for the direct caller: " + caller.problem()};
}

} // namespace foxtailring::bench
