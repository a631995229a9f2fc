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

/// \brief Polls the configuration revision of every entry and engine sidecar on a thread of its own
/// and records each decrease.
class RevisionMonitor
{
public:
    explicit RevisionMonitor(SystemFixture &system);
    ~RevisionMonitor();
    RevisionMonitor(const RevisionMonitor &) = delete;
    RevisionMonitor &operator=(const RevisionMonitor &) = delete;

    /// \brief Forgets the revision of a node whose process is replaced.
    void reset(const std::string &node);
    /// \brief Waits until all nodes but \a except reach \a revision; returns false after the
    /// default timeout.
    bool waitFor(std::int64_t revision, const std::string &except = {});
    /// \brief Descriptions of the decreases so far.
    std::vector<std::string> regressions();

private:
    struct Node
    {
        std::uint16_t adminPort = 0;
        std::int64_t revision = 0;
    };

    void poll();
    void record(const std::string &name, std::int64_t revision);

    std::mutex m_mutex; // guards m_nodes and m_regressions
    std::map<std::string, Node> m_nodes;
    std::vector<std::string> m_regressions;
    std::atomic<bool> m_isStopped = false;
    std::thread m_thread;
};

} // namespace foxtailring::harness
