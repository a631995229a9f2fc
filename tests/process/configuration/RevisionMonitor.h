#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace foxtailring::harness {

class SystemFixture;

/// \brief Polls the configuration revision of every entry and sidecar and notes each decrease.
class RevisionMonitor
{
public:
    explicit RevisionMonitor(SystemFixture &system);
    ~RevisionMonitor();
    RevisionMonitor(const RevisionMonitor &) = delete;
    RevisionMonitor &operator=(const RevisionMonitor &) = delete;

    /// \brief Starts over for a node whose process is replaced.
    void reset(const std::string &node);
    /// \brief False when a node other than \a except does not reach \a revision before the default
    /// deadline.
    bool waitFor(std::int64_t revision, const std::string &except = {});
    /// \brief Decreases so far.
    std::vector<std::string> regressions();

private:
    struct Node
    {
        std::uint16_t adminPort = 0;
        std::int64_t revision = 0;
    };

    void poll();
    void record(const std::string &name, std::int64_t revision);

    std::mutex m_mutex; // guards nodes and faults
    std::map<std::string, Node> m_nodes;
    std::vector<std::string> m_regressions;
    std::atomic<bool> m_isStopped = false;
    std::thread m_thread;
};

} // namespace foxtailring::harness
