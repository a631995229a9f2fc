#include "ConfigWatcher.h"

#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/platform/ResourceStore.h"
#include "foxtailring/transport/Http1Stream.h"

#include "EntryParts.h"
#include "Jitter.h"

#include <algorithm>
#include <string_view>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view keyPrefix = ResourceStore::prefix;
constexpr milliseconds leastBackOff {100};
constexpr milliseconds mostBackOff {2000};

// Kind and name from `<prefix><kind>/<name>`.
bool splitKey(std::string_view key, ResourceDelta &delta)
{
    if (!key.starts_with(keyPrefix))
        return false;
    key.remove_prefix(keyPrefix.size());
    const auto slash = key.find('/');
    if (slash == std::string_view::npos)
        return false;
    delta.kind = key.substr(0, slash);
    delta.name = key.substr(slash + 1);
    return true;
}

void append(ConfigUpdate &update, const KeyValue &pair, bool deleted)
{
    ResourceDelta delta;
    if (!splitKey(pair.key, delta))
        return;
    delta.revision = pair.modRevision;
    delta.deleted = deleted;
    if (!deleted)
        delta.json = pair.value;
    update.resources.push_back(std::move(delta));
}

} // namespace

ConfigWatcher::ConfigWatcher(EntryParts &parts, Http1Client &http, Hook apply)
    : m_parts(parts)
    , m_client(http, parts.settings.platform)
    , m_apply(std::move(apply))
    , m_queue(parts.pool)
    , m_timer(parts.pool)
{
}

ConfigUpdate ConfigWatcher::fullUpdate(const RangeResult &read)
{
    ConfigUpdate update;
    update.revision = read.revision;
    for (const KeyValue &pair : read.values)
        append(update, pair, false);
    return update;
}

// The revision is that of the last change and not that of the service, which may be ahead of
// changes that are still to come when a watch catches up.
ConfigUpdate ConfigWatcher::delta(std::span<const WatchEvent> events, std::int64_t base)
{
    ConfigUpdate update;
    update.baseRevision = base;
    update.revision = base;
    for (const WatchEvent &event : events) {
        if (event.value.modRevision <= base)
            continue;
        update.revision = std::max(update.revision, event.value.modRevision);
        append(update, event.value, event.deleted);
    }
    return update;
}

std::function<void(ConfigWatcher::Work)> ConfigWatcher::poster()
{
    return [weak = weak_from_this()](Work work) {
        const auto self = weak.lock();
        if (!self)
            return;
        self->m_queue.post([self, work = std::move(work)] {
            if (!self->m_stopped)
                work(*self);
        });
    };
}

void ConfigWatcher::start()
{
    poster()([](ConfigWatcher &self) { self.read(); });
}

void ConfigWatcher::stop()
{
    m_timer.cancel();
    poster()([](ConfigWatcher &self) {
        self.closeWatch();
        self.m_stopped = true;
    });
}

void ConfigWatcher::read()
{
    m_client.range(std::string(keyPrefix), [post = poster()](const Result<RangeResult> &result) {
        post([result](ConfigWatcher &self) { self.readAnswered(result); });
    });
}

void ConfigWatcher::readAnswered(const Result<RangeResult> &result)
{
    if (!result)
        return backOff(result.error(), [](ConfigWatcher &self) { self.read(); });
    noteFollowed();
    m_revision = result.value().revision;
    if (const auto applied = m_apply(fullUpdate(result.value())); !applied)
        m_parts.counters.add("config_updates_refused_total");
    watch();
}

void ConfigWatcher::watch()
{
    closeWatch();
    const std::uint64_t number = m_watchNumber;
    const auto post = poster();
    WatchHooks hooks;
    hooks.changed = [post, number](std::span<const WatchEvent> events, std::int64_t) {
        post([number, copy = std::vector<WatchEvent>(events.begin(), events.end())](
                 ConfigWatcher &self) { self.changed(number, copy); });
    };
    hooks.ended = [post, number](const Error &error) {
        post([number, error](ConfigWatcher &self) { self.ended(number, error); });
    };
    m_stream = m_client.watch(std::string(keyPrefix), m_revision + 1, std::move(hooks));
    schedule(jittered(m_parts.settings.watchRenewal), [](ConfigWatcher &self) { self.watch(); });
}

void ConfigWatcher::changed(std::uint64_t watch, const std::vector<WatchEvent> &events)
{
    if (watch != m_watchNumber)
        return;
    noteFollowed();
    const ConfigUpdate update = delta(events, m_revision);
    if (update.revision == m_revision)
        return;
    m_revision = update.revision;
    if (const auto applied = m_apply(update); !applied) {
        m_parts.counters.add("config_updates_refused_total");
        closeWatch();
        read();
    }
}

void ConfigWatcher::ended(std::uint64_t watch, const Error &error)
{
    if (watch != m_watchNumber)
        return;
    closeWatch();
    if (error.code == ErrorCode::Stale)
        read();
    else
        backOff(error, [](ConfigWatcher &self) { self.watch(); });
}

void ConfigWatcher::closeWatch()
{
    ++m_watchNumber;
    if (const auto stream = std::exchange(m_stream, nullptr))
        stream->cancel();
}

void ConfigWatcher::schedule(milliseconds delay, Work work)
{
    m_timer.once(delay, [post = poster(), work = std::move(work)] { post(work); });
}

void ConfigWatcher::backOff(const Error &error, Work work)
{
    m_parts.counters.add("config_read_failures_total");
    if (!std::exchange(m_failing, true))
        StructuredLog::warn("platformUnavailable", {{"message", error.message}});
    m_backOff = std::clamp(m_backOff * 2, leastBackOff, mostBackOff);
    schedule(jittered(m_backOff), std::move(work));
}

void ConfigWatcher::noteFollowed()
{
    m_backOff = milliseconds(0);
    if (std::exchange(m_failing, false))
        StructuredLog::info("platformFollowed");
}

} // namespace foxtailring
