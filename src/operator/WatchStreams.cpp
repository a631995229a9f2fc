#include "WatchStreams.h"

#include "foxtailring/decisions/configuration/ConfigState.h"
#include "foxtailring/protocol/ConfigUpdate.h"
#include "foxtailring/transport/Http1Responder.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <vector>

namespace foxtailring {

namespace {

constexpr std::chrono::milliseconds updateInterval {100};

std::string formatLine(const ResourceDelta &delta)
{
    nlohmann::json line = {{"kind", delta.kind},
                           {"name", delta.name},
                           {"revision", delta.revision},
                           {"deleted", delta.deleted}};
    const auto resource = nlohmann::json::parse(delta.json, nullptr, false);
    if (resource.is_object()) {
        line["writer"] = resource.value("writer", "");
        line["spec"] = resource.value("spec", nlohmann::json::object());
    }
    return line.dump() + '\n';
}

} // namespace

struct WatchStreams::Stream
{
    std::int64_t revision = 0;
    std::int64_t epoch = 0; ///< of the store, in which the revision is valid
    std::shared_ptr<Http1Responder> responder;
    bool isDisconnected = false; ///< guarded by the mutex of the state
};

struct WatchStreams::State
{
    explicit State(ConfigState &configuration)
        : config(configuration)
    {
    }

    std::vector<std::shared_ptr<Stream>> openStreams()
    {
        const std::lock_guard lock(mutex);
        streams.remove_if([](const auto &stream) { return stream->isDisconnected; });
        return {streams.begin(), streams.end()};
    }

    ConfigState &config;
    std::mutex mutex;
    std::list<std::shared_ptr<Stream>> streams;
};

WatchStreams::WatchStreams(WorkerPool &pool, ConfigState &config)
    : m_state(std::make_shared<State>(config))
    , m_timer(pool)
{
    // Timer hooks never run concurrently, so this hook updates revisions without a lock.
    m_timer.every(updateInterval, [state = m_state] {
        for (const auto &stream : state->openStreams()) {
            const auto current = state->config.snapshot();
            if (stream->epoch == current->epoch && stream->revision >= current->revision)
                continue;
            const ConfigUpdate update = state->config.updateSince(stream->revision, stream->epoch);
            for (const auto &delta : update.resources)
                stream->responder->write(formatLine(delta));
            stream->revision = update.revision;
            stream->epoch = update.epoch;
        }
    });
}

void WatchStreams::start(std::int64_t from, std::shared_ptr<Http1Responder> responder)
{
    auto stream = std::make_shared<Stream>();
    stream->revision = from;
    stream->epoch = m_state->config.snapshot()->epoch;
    stream->responder = std::move(responder);
    stream->responder->startStream(200, {{"content-type", "application/x-ndjson"}});
    stream->responder->onDisconnect([state = std::weak_ptr(m_state), weak = std::weak_ptr(stream)] {
        const auto alive = state.lock();
        const auto disconnected = weak.lock();
        if (!alive || !disconnected)
            return;
        const std::lock_guard lock(alive->mutex);
        disconnected->isDisconnected = true;
    });
    const std::lock_guard lock(m_state->mutex);
    m_state->streams.push_back(std::move(stream));
}

} // namespace foxtailring
