#include "CallerGroup.h"

#include "SystemFixture.h"

#include <stdexcept>

namespace foxtailring::harness {

CallerGroup::CallerGroup(SystemFixture &system, std::size_t count, const std::string &name,
                         std::size_t maxTokens)
    : m_name(name)
{
    constexpr std::chrono::seconds timeout {60};
    for (std::size_t number = 0; number < count; ++number) {
        CallerOptions options;
        options.prompt = prompt(number);
        options.maxTokens = maxTokens;
        options.firstEntry = number;
        options.timeout = timeout;
        m_callers.push_back(std::make_unique<Caller>(system, options));
        m_callers.back()->onToken([this, previous = std::size_t(0)](std::size_t tokens) mutable {
            m_tokens += tokens - previous;
            previous = tokens;
        });
    }
    for (const auto &caller : m_callers)
        m_threads.emplace_back([this, current = caller.get()] {
            current->run();
            ++m_ended;
        });
}

CallerGroup::~CallerGroup()
{
    join();
}

void CallerGroup::waitForTokens(std::size_t count) const
{
    waitUntil([&] { return m_tokens >= count || m_ended == m_callers.size(); });
    if (m_tokens < count || m_ended == m_callers.size())
        throw std::runtime_error("the callers have " + std::to_string(m_tokens) + " tokens of "
                                 + std::to_string(count) + " or have all ended");
}

void CallerGroup::join()
{
    for (std::thread &thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
}

std::string CallerGroup::prompt(std::size_t number) const
{
    return m_name + ", caller " + std::to_string(number);
}

} // namespace foxtailring::harness
