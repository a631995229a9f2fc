#include "foxtailring/entry/EntryNode.h"

#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/transport/Http1Client.h"
#include "foxtailring/transport/Http1Server.h"

#include "AdminPort.h"
#include "CallerPort.h"
#include "CallRunner.h"
#include "ConfigWatcher.h"
#include "EntryDrain.h"
#include "EntryParts.h"
#include "EntryStatus.h"
#include "GenerationRunner.h"
#include "Membership.h"
#include "VmListPoller.h"

#include <utility>

#include <boost/asio/io_context.hpp>

namespace foxtailring {

namespace {

HttpLimits callerLimits(const EntrySettings &settings)
{
    HttpLimits limits;
    limits.maxBodyBytes = settings.requestBodyBytes;
    return limits;
}

} // namespace

struct EntryNode::State
{
    explicit State(EntrySettings settings)
        : parts(std::move(settings))
        , membership(parts)
        , callerPort(parts)
        , adminPort(parts, [this] { return isReady(); })
        , callerServer(
              parts.pool, parts.settings.listen, callerLimits(parts.settings),
              [this](HttpRequest request, const std::shared_ptr<Http1Responder> &responder) {
                  callerPort.handle(std::move(request), responder);
              })
        , adminServer(parts.pool, parts.settings.admin, HttpLimits {},
                      [this](HttpRequest request, std::shared_ptr<Http1Responder> responder) {
                          adminPort.handle(std::move(request), std::move(responder));
                      })
        , drain(parts, callerPort, callerServer)
        , platformHttp(parts.pool)
    {
    }

    bool isReady() const;
    void stop();

    EntryParts parts;
    Membership membership;
    CallerPort callerPort;
    AdminPort adminPort;
    Http1Server callerServer;
    Http1Server adminServer;
    EntryDrain drain;
    Http1Client platformHttp;
    std::shared_ptr<VmListPoller> poller;
    std::shared_ptr<ConfigWatcher> watcher;
};

// Without a server in the list, another entry can do more for a caller.
bool EntryNode::State::isReady() const
{
    return drain.isServing() && parts.config.revision() > 0 && parts.servers.size() > 0;
}

void EntryNode::State::stop()
{
    callerServer.close();
    adminServer.close();
    if (poller)
        poller->stop();
    if (watcher)
        watcher->stop();
    parts.links.close();
    parts.pool.stop();
    // Runs what is still queued on this thread only, so that nothing refers to parts that are
    // destroyed before the pool.
    parts.pool.context().restart();
    parts.pool.context().poll();
    parts.generations.clear();
    parts.calls.clear();
}

EntryNode::EntryNode(EntrySettings settings)
    : m_state(std::make_unique<State>(std::move(settings)))
{
}

EntryNode::~EntryNode()
{
    m_state->stop();
}

void EntryNode::setOperatorHandler(OperatorHandler handler)
{
    m_state->adminPort.setOperatorHandler(std::move(handler));
}

Result<EntryPorts> EntryNode::listen()
{
    const auto admin = m_state->adminServer.listen();
    if (!admin)
        return admin.error();
    const auto callers = m_state->callerServer.listen();
    if (!callers)
        return callers.error();
    return EntryPorts {callers.value(), admin.value()};
}

void EntryNode::followPlatform()
{
    State &state = *m_state;
    state.poller = std::make_shared<VmListPoller>(
        state.parts, state.platformHttp, [this](const MemberList &list) { applyMembers(list); });
    state.watcher = std::make_shared<ConfigWatcher>(
        state.parts, state.platformHttp,
        [this](const ConfigUpdate &update) { return applyConfig(update); });
    state.poller->start();
    state.watcher->start();
}

void EntryNode::drain(std::function<void()> done)
{
    m_state->drain.begin(std::move(done));
}

Result<Done> EntryNode::applyConfig(const ConfigUpdate &update)
{
    ConfigState &config = m_state->parts.config;
    const auto before = config.snapshot();
    auto applied = config.apply(update);
    const auto current = config.snapshot();
    if (current == before)
        return applied;
    if (before->revision == 0)
        StructuredLog::info("firstConfiguration",
                            {{"revision", std::to_string(current->revision)}});
    m_state->parts.links.configChanged();
    return applied;
}

void EntryNode::applyMembers(const MemberList &list)
{
    m_state->membership.apply(list);
}

WorkerPool &EntryNode::pool()
{
    return m_state->parts.pool;
}

ConfigState &EntryNode::config()
{
    return m_state->parts.config;
}

MetricRegistry &EntryNode::metrics()
{
    return m_state->parts.metrics;
}

std::vector<NodeRevision> EntryNode::nodes() const
{
    return EntryStatus::nodes(m_state->parts, m_state->drain.isServing());
}

std::vector<MemberList::Entry> EntryNode::otherEntries() const
{
    return m_state->membership.otherEntries();
}

std::string EntryNode::statusJson() const
{
    return EntryStatus::json(m_state->parts);
}

} // namespace foxtailring
