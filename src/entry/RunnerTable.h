#pragma once

#include <cstddef>
#include <memory>
#include <mutex>
#include <unordered_set>
#include <utility>
#include <vector>

namespace foxtailring {

/// \brief Keeps the runners of requests in progress alive. Thread-safe.
template <typename Runner>
class RunnerTable
{
public:
    void add(std::shared_ptr<Runner> runner)
    {
        const std::lock_guard lock(m_mutex);
        m_runners.insert(std::move(runner));
    }

    void remove(const std::shared_ptr<Runner> &runner)
    {
        const std::lock_guard lock(m_mutex);
        m_runners.erase(runner);
    }

    std::vector<std::shared_ptr<Runner>> all() const
    {
        const std::lock_guard lock(m_mutex);
        return {m_runners.begin(), m_runners.end()};
    }

    std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runners.size();
    }

    /// \brief Drops every runner, outside the lock.
    void clear()
    {
        std::unordered_set<std::shared_ptr<Runner>> dropped;
        {
            const std::lock_guard lock(m_mutex);
            dropped.swap(m_runners);
        }
    }

private:
    mutable std::mutex m_mutex;
    std::unordered_set<std::shared_ptr<Runner>> m_runners;
};

} // namespace foxtailring
