#include "foxtailring/sidecar/LoadMonitor.h"

#include "foxtailring/base/ParseJson.h"
#include "foxtailring/decisions/membership/DrainState.h"
#include "foxtailring/sidecar/SidecarSettings.h"
#include "foxtailring/transport/Http1Client.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace foxtailring {

namespace {

// A report with 128 hashes of 9 bytes stays near 1.2 KB; with 9 entries and a report every 5 s that
// is about 2 KB/s of the 8 KB/s that control may use.
// Reports carry them, and a report has to stay small: see ReportPacing.
constexpr std::size_t maxPrefixHashes = 8;

std::uint32_t countIn(const nlohmann::json &json, const char *field)
{
    const auto value = json.find(field);
    return value != json.end() && value->is_number_unsigned() ? value->get<std::uint32_t>() : 0;
}

} // namespace

struct LoadMonitor::State
{
    void takeLoad(const Result<HttpResponse> &response);
    void takeCacheEvents(const Result<HttpResponse> &response, std::uint64_t askedInFeed);
    void noteFailure(const Result<HttpResponse> &response);
    void startNewFeed();
    void takeCacheEvent(const nlohmann::json &event);

    mutable std::mutex mutex; // guards all below
    bool asksLoad = false;
    bool asksCacheEvents = false;
    BackendLoad load;
    std::uint64_t lastEvent = 0;
    std::uint64_t feed = 0; ///< changes when the engine may have restarted
    PrefixHashes hashes {maxPrefixHashes};
};

// A failed poll keeps the last load: a dead backend server is noticed by other means.
void LoadMonitor::State::takeLoad(const Result<HttpResponse> &response)
{
    const std::lock_guard lock(mutex);
    asksLoad = false;
    noteFailure(response);
    if (!response || response.value().status != 200)
        return;
    const auto json = parseJson(response.value().body);
    if (json.is_object())
        load = {countIn(json, "running"), countIn(json, "waiting"), countIn(json, "capacity")};
}

// Event numbers are valid for one run of the engine, and the protocol names none. An engine that
// restarts refuses or closes connections, so the numbers known are not used after that. One that is
// only slow goes on with its numbers.
void LoadMonitor::State::noteFailure(const Result<HttpResponse> &response)
{
    if (!response && response.error().code != ErrorCode::Timeout)
        startNewFeed();
}

void LoadMonitor::State::startNewFeed()
{
    ++feed;
    lastEvent = 0;
    hashes.clear();
}

void LoadMonitor::State::takeCacheEvents(const Result<HttpResponse> &response,
                                         std::uint64_t askedInFeed)
{
    const std::lock_guard lock(mutex);
    asksCacheEvents = false;
    noteFailure(response);
    if (askedInFeed != feed)
        return;
    if (!response || response.value().status != 200)
        return;
    const auto json = parseJson(response.value().body);
    const auto events = json.is_object() ? json.value("events", nlohmann::json()) : json;
    if (!events.is_array())
        return;
    const auto last = json.find("last");
    const bool hasLast = last != json.end() && last->is_number_unsigned();
    // A restarted engine numbers its events from the start again; those up to here were not sent.
    if (hasLast && last->get<std::uint64_t>() < lastEvent)
        return startNewFeed();
    for (const auto &event : events)
        takeCacheEvent(event);
    if (hasLast)
        lastEvent = last->get<std::uint64_t>();
}

void LoadMonitor::State::takeCacheEvent(const nlohmann::json &event)
{
    if (!event.is_object())
        return;
    const auto hash = event.find("prefix_hash");
    if (hash == event.end() || !hash->is_number_unsigned())
        return;
    if (event.value("type", "") == "evicted")
        hashes.evicted(hash->get<std::uint64_t>());
    else
        hashes.stored(hash->get<std::uint64_t>());
}

LoadMonitor::LoadMonitor(std::shared_ptr<const SidecarSettings> settings, WorkerPool &pool,
                         std::shared_ptr<Http1Client> backend,
                         std::shared_ptr<const DrainState> drain)
    : m_settings(std::move(settings))
    , m_backend(std::move(backend))
    , m_drain(std::move(drain))
    , m_state(std::make_shared<State>())
    , m_loadTimer(pool)
    , m_cacheTimer(pool)
{
}

LoadMonitor::~LoadMonitor() = default;

void LoadMonitor::start()
{
    pollLoad();
    m_loadTimer.every(m_settings->loadInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->pollLoad();
    });
    if (m_settings->kind != ServiceType::Generation)
        return;
    m_cacheTimer.every(m_settings->cacheEventsInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->pollCacheEvents();
    });
}

void LoadMonitor::stop()
{
    m_loadTimer.cancel();
    m_cacheTimer.cancel();
}

void LoadMonitor::pollLoad()
{
    {
        const std::lock_guard lock(m_state->mutex);
        if (std::exchange(m_state->asksLoad, true))
            return;
    }
    m_backend->request(
        m_settings->backend, {"GET", "/load", {}, {}}, m_settings->probeTimeout,
        [state = m_state](const Result<HttpResponse> &response) { state->takeLoad(response); });
}

void LoadMonitor::pollCacheEvents()
{
    std::uint64_t after = 0;
    std::uint64_t feed = 0;
    {
        const std::lock_guard lock(m_state->mutex);
        if (std::exchange(m_state->asksCacheEvents, true))
            return;
        after = m_state->lastEvent;
        feed = m_state->feed;
    }
    m_backend->request(
        m_settings->backend, {"GET", "/cache_events?after=" + std::to_string(after), {}, {}},
        m_settings->probeTimeout, [state = m_state, feed](const Result<HttpResponse> &response) {
            state->takeCacheEvents(response, feed);
        });
}

// The backend server's report lags, so work that it cannot have counted yet is added.
BackendLoad LoadMonitor::load() const
{
    const auto own = static_cast<std::uint32_t>(m_drain->workInProgress());
    const std::lock_guard lock(m_state->mutex);
    BackendLoad load = m_state->load;
    if (load.capacity == 0)
        load.capacity = m_settings->capacity;
    const std::uint32_t reported = load.running + load.waiting;
    std::uint32_t missing = own > reported ? own - reported : 0;
    const std::uint32_t idle = load.capacity > load.running ? load.capacity - load.running : 0;
    load.running += std::min(idle, missing);
    load.waiting += missing - std::min(idle, missing);
    return load;
}

std::uint32_t LoadMonitor::capacity() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->load.capacity > 0 ? m_state->load.capacity : m_settings->capacity;
}

std::vector<std::uint64_t> LoadMonitor::prefixHashes() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->hashes.all();
}

} // namespace foxtailring
