#include "RevisionMonitor.h"

#include "SystemFixture.h"

#include <algorithm>

namespace foxtailring::harness {

RevisionMonitor::RevisionMonitor(SystemFixture &system)
{
    for (std::size_t index = 0; index < system.entryCount(); ++index)
        m_nodes[system.entry(index).name].adminPort = system.entry(index).adminPort;
    for (std::size_t index = 0; index < system.engineCount(); ++index) {
        ServerVm &server = system.engine(index);
        m_nodes[server.name].adminPort = server.adminPort();
    }
    m_thread = std::thread([this] {
        constexpr std::chrono::hours maxDuration {1};
        waitUntil(
            [this] {
                poll();
                return m_isStopped.load();
            },
            maxDuration);
    });
}

RevisionMonitor::~RevisionMonitor()
{
    m_isStopped = true;
    m_thread.join();
}

void RevisionMonitor::reset(const std::string &node)
{
    const std::lock_guard lock(m_mutex);
    m_nodes[node].revision = 0;
}

bool RevisionMonitor::waitFor(std::int64_t revision, const std::string &except)
{
    return waitUntil([&] {
        const std::lock_guard lock(m_mutex);
        return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto &node) {
            return node.first == except || node.second.revision >= revision;
        });
    });
}

std::vector<std::string> RevisionMonitor::regressions()
{
    const std::lock_guard lock(m_mutex);
    return m_regressions;
}

void RevisionMonitor::poll()
{
    std::map<std::string, Node> nodes;
    {
        const std::lock_guard lock(m_mutex);
        nodes = m_nodes;
    }
    for (const auto &[name, node] : nodes)
        record(name,
               static_cast<std::int64_t>(
                   SystemFixture::sumMetric(HttpClient(node.adminPort), "config_revision")));
}

// 0 means that the node does not answer or has no configuration yet.
void RevisionMonitor::record(const std::string &name, std::int64_t revision)
{
    const std::lock_guard lock(m_mutex);
    Node &node = m_nodes[name];
    if (revision == 0)
        return;
    if (revision < node.revision)
        m_regressions.push_back(name + " went from revision " + std::to_string(node.revision)
                                + " to " + std::to_string(revision));
    node.revision = revision;
}

} // namespace foxtailring::harness
