#include "foxtailring/sidecar/Sidecar.h"

#include "foxtailring/base/MetricRegistry.h"
#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/decisions/configuration/ConfigState.h"
#include "foxtailring/decisions/membership/DrainState.h"
#include "foxtailring/protocol/ConfigUpdate.h"
#include "foxtailring/sidecar/AdminServer.h"
#include "foxtailring/sidecar/CallService.h"
#include "foxtailring/sidecar/ConfigService.h"
#include "foxtailring/sidecar/GenerationService.h"
#include "foxtailring/sidecar/LoadMonitor.h"
#include "foxtailring/sidecar/RecordService.h"
#include "foxtailring/sidecar/ReportService.h"
#include "foxtailring/sidecar/Tracer.h"
#include "foxtailring/sidecar/WorkGate.h"
#include "foxtailring/transport/Http1Client.h"
#include "foxtailring/transport/Http2Server.h"
#include "foxtailring/transport/Http2Stream.h"
#include "foxtailring/transport/Timer.h"
#include "foxtailring/transport/WorkerPool.h"

#include <atomic>
#include <map>
#include <string>

namespace foxtailring {

namespace {

constexpr std::chrono::milliseconds drainCheckInterval {50};

std::int64_t unixSeconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(now).count();
}

ClaimStore claimStore(WorkerPool &pool, const SidecarSettings &settings)
{
    if (!settings.platform)
        return {};
    return ClaimStore::overKeyValueService(std::make_shared<Http1Client>(pool), *settings.platform);
}

SidecarContext makeContext(WorkerPool &pool, const SidecarSettings &settings,
                           std::uint64_t incarnation, SpanExporter exporter)
{
    const auto shared = std::make_shared<const SidecarSettings>(settings);
    const auto backend = std::make_shared<Http1Client>(pool);
    const auto config = std::make_shared<ConfigState>();
    const auto drain = std::make_shared<DrainState>(settings.drainLimit);
    const auto load = std::make_shared<LoadMonitor>(shared, pool, backend, drain);
    return SidecarContext {
        shared,
        incarnation,
        steadyClock(),
        unixSeconds,
        pool,
        backend,
        std::make_shared<MetricRegistry>(),
        config,
        drain,
        load,
        std::make_shared<WorkGate>(shared, config, drain, load),
        std::make_shared<Tracer>(RandomSource::fromEntropy(), steadyClock(), std::move(exporter))};
}

} // namespace

struct Sidecar::State : std::enable_shared_from_this<Sidecar::State>
{
    State(WorkerPool &pool, const SidecarSettings &settings, std::uint64_t incarnation,
          Hooks givenHooks);

    Result<Done> start();
    void drain();
    void stop();

    SidecarContext context;
    std::function<void()> onDrained;
    std::shared_ptr<GenerationService> generations;
    std::shared_ptr<RecordService> records;
    std::shared_ptr<ReportService> reports;
    std::shared_ptr<ConfigService> configs;
    std::shared_ptr<CallService> calls;
    Timer drainTimer;
    std::unique_ptr<Http2Server> server;
    std::unique_ptr<AdminServer> admin;
    std::uint16_t port = 0;
    std::uint16_t adminPort = 0;

private:
    using Route = std::function<void(const std::shared_ptr<Http2Stream> &)>;

    void addRoutes();
    void dispatch(const std::shared_ptr<Http2Stream> &stream);
    void checkDrained();

    std::map<std::string, Route, std::less<>> m_routes;
    std::atomic<bool> m_isDrained = false;
};

Sidecar::State::State(WorkerPool &pool, const SidecarSettings &settings, std::uint64_t incarnation,
                      Hooks givenHooks)
    : context(makeContext(pool, settings, incarnation, std::move(givenHooks.exportSpan)))
    , onDrained(std::move(givenHooks.onDrained))
    , generations(std::make_shared<GenerationService>(context))
    , records(std::make_shared<RecordService>(context))
    , reports(std::make_shared<ReportService>(context))
    , configs(std::make_shared<ConfigService>(context, [sender = reports] { sender->sendToAll(); }))
    , calls(std::make_shared<CallService>(context,
                                          givenHooks.claimStore.isSet()
                                              ? std::move(givenHooks.claimStore)
                                              : claimStore(pool, settings)))
    , drainTimer(pool)
{
    addRoutes();
}

void Sidecar::State::addRoutes()
{
    m_routes["/node/reports"] = [this](const auto &stream) { reports->open(stream); };
    m_routes["/node/config"] = [this](const auto &stream) { configs->open(stream); };
    if (context.settings->kind == ServiceType::Plain) {
        m_routes["/call"] = [this](const auto &stream) { calls->open(stream); };
        return;
    }
    m_routes["/generation/start"] = [this](const auto &stream) { generations->openStart(stream); };
    m_routes["/generation/attach"] = [this](const auto &stream) {
        generations->openAttach(stream);
    };
    m_routes["/generation/find"] = [this](const auto &stream) { records->openFind(stream); };
    m_routes["/generation/record"] = [this](const auto &stream) { records->openRecord(stream); };
}

void Sidecar::State::dispatch(const std::shared_ptr<Http2Stream> &stream)
{
    const auto route = m_routes.find(stream->path());
    if (route == m_routes.end())
        return stream->reset();
    route->second(stream);
}

Result<Done> Sidecar::State::start()
{
    server = std::make_unique<Http2Server>(
        context.pool, context.settings->listen,
        [weak = weak_from_this()](const std::shared_ptr<Http2Stream> &stream) {
            if (const auto self = weak.lock())
                self->dispatch(stream);
        });
    admin = std::make_unique<AdminServer>(context, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->drain();
    });
    const auto bound = server->listen();
    if (!bound)
        return bound.error();
    const auto adminBound = admin->listen();
    if (!adminBound)
        return adminBound.error();
    port = bound.value();
    adminPort = adminBound.value();
    context.load->start();
    generations->start();
    StructuredLog::info("started",
                        {{"service", context.settings->service},
                         {"availabilityZone", context.settings->availabilityZone},
                         {"incarnation", std::to_string(context.incarnation)}});
    return Done {};
}

void Sidecar::State::drain()
{
    if (!context.drain->begin(context.clock()))
        return;
    StructuredLog::info("draining",
                        {{"inProgress", std::to_string(context.drain->workInProgress())}});
    reports->sendToAll();
    drainTimer.every(drainCheckInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->checkDrained();
    });
}

void Sidecar::State::checkDrained()
{
    const std::size_t unacknowledged = generations->unacknowledged() + calls->pendingCalls();
    if (context.drain->update(unacknowledged, context.clock()) != DrainPhase::Drained
        || m_isDrained.exchange(true))
        return;
    drainTimer.cancel();
    StructuredLog::info("drained",
                        {{"inProgress", std::to_string(context.drain->workInProgress())},
                         {"unacknowledged", std::to_string(unacknowledged)}});
    if (onDrained)
        onDrained();
}

void Sidecar::State::stop()
{
    drainTimer.cancel();
    context.load->stop();
    generations->stop();
    calls->stop();
    reports->stop();
    if (server)
        server->close();
    if (admin)
        admin->close();
}

Sidecar::Sidecar(WorkerPool &pool, const SidecarSettings &settings, std::uint64_t incarnation,
                 Hooks hooks)
    : m_state(std::make_shared<State>(pool, settings, incarnation, std::move(hooks)))
{
}

Sidecar::~Sidecar()
{
    stop();
}

Result<Done> Sidecar::start()
{
    return m_state->start();
}

std::uint16_t Sidecar::port() const
{
    return m_state->port;
}

std::uint16_t Sidecar::adminPort() const
{
    return m_state->adminPort;
}

void Sidecar::drain()
{
    m_state->drain();
}

void Sidecar::stop()
{
    m_state->stop();
}

MetricRegistry &Sidecar::metrics()
{
    return *m_state->context.metrics;
}

} // namespace foxtailring
