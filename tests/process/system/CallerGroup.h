#pragma once

#include "Caller.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace foxtailring::harness {

/// \brief Callers that stream concurrently, each with its own prompt.
class CallerGroup
{
public:
    /// \brief Starts \a count callers, spread over the entries.
    CallerGroup(SystemFixture &system, std::size_t count, const std::string &name,
                std::size_t maxTokens);
    ~CallerGroup();
    CallerGroup(const CallerGroup &) = delete;
    CallerGroup &operator=(const CallerGroup &) = delete;

    /// \brief Waits until all callers together have \a count tokens. Throws std::runtime_error when
    /// they have all ended or the default timeout passes.
    void waitForTokens(std::size_t count) const;
    void join();

    /// \brief Answer of a caller. Call it only after join().
    const Answer &answer(std::size_t number) const { return m_callers.at(number)->answer(); }
    std::string prompt(std::size_t number) const;
    std::size_t size() const { return m_callers.size(); }

private:
    std::string m_name;
    std::atomic<std::size_t> m_tokens = 0;
    std::atomic<std::size_t> m_ended = 0;
    std::vector<std::unique_ptr<Caller>> m_callers;
    std::vector<std::thread> m_threads;
};

} // namespace foxtailring::harness
