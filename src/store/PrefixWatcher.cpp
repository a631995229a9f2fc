#include "foxtailring/store/PrefixWatcher.h"

#include "foxtailring/base/Jitter.h"
#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/decisions/membership/HistoryCost.h"
#include "foxtailring/store/KeyValueClient.h"
#include "foxtailring/transport/Http1Stream.h"
#include "foxtailring/transport/SerialQueue.h"
#include "foxtailring/transport/Timer.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace foxtailring {

using std::chrono::milliseconds;

namespace {

std::vector<HistoryCost::Change> changesOf(const std::vector<WatchEvent> &events)
{
    std::vector<HistoryCost::Change> changes;
    changes.reserve(events.size());
    for (const WatchEvent &event : events)
        changes.push_back({event.pair.key, event.pair.value.size()});
    return changes;
}

std::size_t bytesOf(const RangeResult &read)
{
    std::size_t bytes = 0;
    for (const KeyValue &pair : read.pairs)
        bytes += pair.value.size();
    return bytes;
}

} // namespace

// All members are used on the queue only. Callbacks of the client may outlive the watcher, so they
// hold it weakly.
class PrefixWatcher::State : public std::enable_shared_from_this<PrefixWatcher::State>
{
public:
    using Task = std::function<void(State &)>;

    State(WorkerPool &pool, KeyValueClient &client, std::string prefix, Settings settings,
          PrefixWatcherHooks hooks)
        : m_client(client)
        , m_prefix(std::move(prefix))
        , m_settings(settings)
        , m_hooks(std::move(hooks))
        , m_queue(pool)
        , m_timer(pool)
    {
    }

    std::function<void(Task)> poster();
    void read();
    void stop();

private:
    void onRead(const Result<RangeResult> &result, TimePoint requestedAt);
    void watch();
    void onChanges(std::uint64_t watchId, const std::vector<WatchEvent> &events);
    void onConfirmed(std::uint64_t watchId, TimePoint requestedAt);
    void onBehind(std::uint64_t watchId);
    void onEnded(std::uint64_t watchId, const Error &error);
    void rereadLater();
    void readState(std::string_view reason);
    std::vector<WatchEvent> takeUnseenEvents(const std::vector<WatchEvent> &events);
    void closeWatch();
    void restartIdleTimer();
    void schedule(milliseconds delay, Task task);
    void retryAfterBackoff(const Error &error, Task task);
    void markAvailable();

    KeyValueClient &m_client;
    const std::string m_prefix;
    const Settings m_settings;
    const PrefixWatcherHooks m_hooks;
    const Clock m_clock = bootClock();
    SerialQueue m_queue;
    Timer m_timer;

    std::shared_ptr<Http1Stream> m_stream;
    std::uint64_t m_watchId = 0;
    StoreRevision m_revision; ///< of the last change reported
    milliseconds m_backoff {0};
    milliseconds m_rereadBackoff {0};
    HistoryCost m_historyCost;
    bool m_readsInPlaceOfHistory = false;
    bool m_mayReadState = true; ///< the last such read did not fail since the reader was up to date
    TimePoint m_readAt;         ///< when the last read of all keys was answered
    bool m_hasWatched = true;   ///< a watch was answered since the last read after lost history
    bool m_isAvailable = false;
    bool m_isOutageReported = false;
    bool m_isStopped = false;
};

std::function<void(PrefixWatcher::State::Task)> PrefixWatcher::State::poster()
{
    return [weak = weak_from_this()](Task task) {
        const auto self = weak.lock();
        if (!self)
            return;
        self->m_queue.post([self, task = std::move(task)] {
            if (!self->m_isStopped)
                task(*self);
        });
    };
}

void PrefixWatcher::State::stop()
{
    m_timer.cancel();
    closeWatch();
    m_isStopped = true;
}

void PrefixWatcher::State::read()
{
    m_client.range(m_prefix, [post = poster(), requestedAt = m_clock()](const auto &result) {
        post([result, requestedAt](State &self) { self.onRead(result, requestedAt); });
    });
}

void PrefixWatcher::State::onRead(const Result<RangeResult> &result, TimePoint requestedAt)
{
    const Task readAgain = [](State &self) { self.read(); };
    const bool hasHistory = std::exchange(m_readsInPlaceOfHistory, false);
    // The state may be too large to be read, while the history is still there.
    if (!result && hasHistory) {
        m_mayReadState = false;
        return retryAfterBackoff(result.error(), [](State &self) { self.watch(); });
    }
    if (!result)
        return retryAfterBackoff(result.error(), readAgain);
    markAvailable();
    m_revision = {result.value().epoch, result.value().revision};
    if (!m_hooks.onSnapshot(result.value()))
        return retryAfterBackoff({ErrorCode::Malformed, "the keys read could not be used"},
                                 readAgain);
    m_backoff = milliseconds(0);
    m_readAt = m_clock();
    m_historyCost.recordState(bytesOf(result.value()), m_readAt);
    if (m_hooks.onConfirmed)
        m_hooks.onConfirmed(requestedAt);
    watch();
}

void PrefixWatcher::State::watch()
{
    closeWatch();
    const std::uint64_t watchId = m_watchId;
    const auto post = poster();
    WatchHooks hooks;
    hooks.onChanges = [post, watchId](std::span<const WatchEvent> events, std::int64_t) {
        post([watchId, copy = std::vector<WatchEvent>(events.begin(), events.end())](State &self) {
            self.onChanges(watchId, copy);
        });
    };
    hooks.onConfirmed = [post, watchId](TimePoint requestedAt) {
        post([watchId, requestedAt](State &self) { self.onConfirmed(watchId, requestedAt); });
    };
    hooks.onBehind = [post, watchId] { post([watchId](State &self) { self.onBehind(watchId); }); };
    hooks.onEnded = [post, watchId](const Error &error) {
        post([watchId, error](State &self) { self.onEnded(watchId, error); });
    };
    const StoreRevision next {m_revision.epoch, m_revision.number + 1};
    m_stream = m_client.watch(m_prefix, next, std::move(hooks));
    restartIdleTimer();
}

// Keeps the revision of the last change, not that of the store: while a watch catches up, the store
// can be ahead of changes that it has yet to deliver.
std::vector<WatchEvent>
PrefixWatcher::State::takeUnseenEvents(const std::vector<WatchEvent> &events)
{
    std::vector<WatchEvent> unseen;
    const std::int64_t lastRevision = m_revision.number;
    for (const WatchEvent &event : events) {
        if (event.pair.modRevision <= lastRevision)
            continue;
        m_revision.number = std::max(m_revision.number, event.pair.modRevision);
        unseen.push_back(event);
    }
    return unseen;
}

void PrefixWatcher::State::onChanges(std::uint64_t watchId, const std::vector<WatchEvent> &events)
{
    if (watchId != m_watchId)
        return;
    markAvailable();
    m_hasWatched = true;
    restartIdleTimer();
    const std::vector<WatchEvent> unseen = takeUnseenEvents(events);
    if (!unseen.empty() && !m_hooks.onChanges(unseen)) {
        closeWatch();
        return read();
    }
    m_backoff = milliseconds(0);
    if (m_historyCost.recordChanges(changesOf(unseen), m_clock()) && m_mayReadState)
        readState("storm");
}

void PrefixWatcher::State::onBehind(std::uint64_t watchId)
{
    if (watchId != m_watchId)
        return;
    if (m_mayReadState && m_historyCost.isStateCheaperWhenBehind())
        readState("behind");
    else if (m_hooks.onBehind)
        m_hooks.onBehind();
}

void PrefixWatcher::State::onConfirmed(std::uint64_t watchId, TimePoint requestedAt)
{
    if (watchId != m_watchId)
        return;
    markAvailable();
    m_hasWatched = true;
    m_mayReadState = true;
    m_backoff = milliseconds(0);
    restartIdleTimer();
    if (m_hooks.onConfirmed)
        m_hooks.onConfirmed(requestedAt);
}

void PrefixWatcher::State::onEnded(std::uint64_t watchId, const Error &error)
{
    if (watchId != m_watchId)
        return;
    closeWatch();
    if (error.code == ErrorCode::Stale)
        rereadLater();
    else
        retryAfterBackoff(error, [](State &self) { self.watch(); });
}

void PrefixWatcher::State::rereadLater()
{
    // A service whose answers alternate between two epochs would otherwise be read without pause.
    m_rereadBackoff = std::exchange(m_hasWatched, false)
        ? milliseconds(0)
        : std::clamp(m_rereadBackoff * 2, m_settings.minBackoff, m_settings.maxBackoff);
    const milliseconds spread = m_hooks.rereadDelay ? m_hooks.rereadDelay() : milliseconds(0);
    const milliseconds delay = spread + jittered(m_rereadBackoff);
    if (m_hooks.onHistoryLost)
        m_hooks.onHistoryLost(delay);
    schedule(delay, [](State &self) { self.read(); });
}

// In a storm the answer that led here had the newest versions, so the next read may wait. A reader
// that is behind has read old ones only.
void PrefixWatcher::State::readState(std::string_view reason)
{
    closeWatch();
    m_readsInPlaceOfHistory = true;
    const milliseconds spread = m_hooks.rereadDelay ? m_hooks.rereadDelay() : milliseconds(0);
    const auto sinceRead = std::chrono::duration_cast<milliseconds>(m_clock() - m_readAt);
    const milliseconds pause =
        std::clamp(m_settings.stateInterval - sinceRead, milliseconds(0), m_settings.stateInterval);
    StructuredLog::info("stateInPlaceOfHistory",
                        {{"reason", std::string(reason)},
                         {"revision", std::to_string(m_revision.number)},
                         {"delayMs", std::to_string((spread + pause).count())}});
    const bool isLate = reason == "behind" || spread > m_settings.stateInterval;
    if (isLate && m_hooks.onHistoryLost)
        m_hooks.onHistoryLost(spread + pause);
    schedule(spread + pause, [](State &self) { self.read(); });
}

void PrefixWatcher::State::closeWatch()
{
    ++m_watchId;
    if (const auto stream = std::exchange(m_stream, nullptr))
        stream->cancel();
}

void PrefixWatcher::State::restartIdleTimer()
{
    schedule(jittered(m_settings.idleTimeout), [](State &self) { self.watch(); });
}

void PrefixWatcher::State::schedule(milliseconds delay, Task task)
{
    m_timer.once(delay, [post = poster(), task = std::move(task)] { post(task); });
}

void PrefixWatcher::State::retryAfterBackoff(const Error &error, Task task)
{
    if (m_hooks.onError)
        m_hooks.onError(error);
    m_isAvailable = false;
    if (!std::exchange(m_isOutageReported, true) && m_hooks.onUnavailable)
        m_hooks.onUnavailable(error);
    m_backoff = std::clamp(m_backoff * 2, m_settings.minBackoff, m_settings.maxBackoff);
    schedule(jittered(m_backoff), std::move(task));
}

void PrefixWatcher::State::markAvailable()
{
    m_isOutageReported = false;
    if (!std::exchange(m_isAvailable, true) && m_hooks.onAvailable)
        m_hooks.onAvailable();
}

PrefixWatcher::PrefixWatcher(WorkerPool &pool, KeyValueClient &client, std::string prefix,
                             Settings settings, PrefixWatcherHooks hooks)
    : m_state(std::make_shared<State>(pool, client, std::move(prefix), settings, std::move(hooks)))
{
}

PrefixWatcher::~PrefixWatcher()
{
    stop();
}

void PrefixWatcher::start()
{
    m_state->poster()([](State &self) { self.read(); });
}

void PrefixWatcher::stop()
{
    m_state->poster()([](State &self) { self.stop(); });
}

} // namespace foxtailring
