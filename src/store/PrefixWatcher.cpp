#include "foxtailring/store/PrefixWatcher.h"

#include "foxtailring/base/Jitter.h"
#include "foxtailring/store/KeyValueClient.h"
#include "foxtailring/transport/Http1Stream.h"
#include "foxtailring/transport/SerialQueue.h"
#include "foxtailring/transport/Timer.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace foxtailring {

using std::chrono::milliseconds;

// Everything runs on the queue. Hooks of the client may outlive the follower.
class PrefixWatcher::State : public std::enable_shared_from_this<PrefixWatcher::State>
{
public:
    using Work = std::function<void(State &)>;

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

    std::function<void(Work)> poster();
    void read();
    void stop();

private:
    void readAnswered(const Result<RangeResult> &result, TimePoint askedAt);
    void watch();
    void changed(std::uint64_t watch, const std::vector<WatchEvent> &events);
    void confirmed(std::uint64_t watch, TimePoint askedAt);
    void ended(std::uint64_t watch, const Error &error);
    std::vector<WatchEvent> newEvents(const std::vector<WatchEvent> &events);
    void closeWatch();
    void renewLater();
    void schedule(milliseconds delay, Work work);
    void backOff(const Error &error, Work work);
    void noteFollowed();

    KeyValueClient &m_client;
    const std::string m_prefix;
    const Settings m_settings;
    const PrefixWatcherHooks m_hooks;
    const Clock m_clock = bootClock();
    SerialQueue m_queue;
    Timer m_timer;

    std::shared_ptr<Http1Stream> m_stream;
    std::uint64_t m_watchNumber = 0;
    std::int64_t m_revision = 0; ///< everything up to here is reported
    milliseconds m_backOff {0};
    bool m_isFollowed = false;
    bool m_lostReported = false;
    bool m_stopped = false;
};

std::function<void(PrefixWatcher::State::Work)> PrefixWatcher::State::poster()
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

void PrefixWatcher::State::stop()
{
    m_timer.cancel();
    closeWatch();
    m_stopped = true;
}

void PrefixWatcher::State::read()
{
    m_client.range(m_prefix, [post = poster(), askedAt = m_clock()](const auto &result) {
        post([result, askedAt](State &self) { self.readAnswered(result, askedAt); });
    });
}

void PrefixWatcher::State::readAnswered(const Result<RangeResult> &result, TimePoint askedAt)
{
    const Work again = [](State &self) { self.read(); };
    if (!result)
        return backOff(result.error(), again);
    noteFollowed();
    m_revision = result.value().revision;
    if (!m_hooks.onSnapshot(result.value()))
        return backOff({ErrorCode::Malformed, "what was read could not be used"}, again);
    if (m_hooks.onConfirmed)
        m_hooks.onConfirmed(askedAt);
    watch();
}

void PrefixWatcher::State::watch()
{
    closeWatch();
    const std::uint64_t number = m_watchNumber;
    const auto post = poster();
    WatchHooks hooks;
    hooks.onChanges = [post, number](std::span<const WatchEvent> events, std::int64_t) {
        post([number, copy = std::vector<WatchEvent>(events.begin(), events.end())](State &self) {
            self.changed(number, copy);
        });
    };
    hooks.onConfirmed = [post, number](TimePoint askedAt) {
        post([number, askedAt](State &self) { self.confirmed(number, askedAt); });
    };
    hooks.onEnded = [post, number](const Error &error) {
        post([number, error](State &self) { self.ended(number, error); });
    };
    m_stream = m_client.watch(m_prefix, m_revision + 1, std::move(hooks));
    renewLater();
}

// The revision kept is that of the last change and not that of the service, which may be ahead of
// changes that are still to come when a watch catches up.
std::vector<WatchEvent> PrefixWatcher::State::newEvents(const std::vector<WatchEvent> &events)
{
    std::vector<WatchEvent> fresh;
    const std::int64_t base = m_revision;
    for (const WatchEvent &event : events) {
        if (event.pair.modRevision <= base)
            continue;
        m_revision = std::max(m_revision, event.pair.modRevision);
        fresh.push_back(event);
    }
    return fresh;
}

void PrefixWatcher::State::changed(std::uint64_t watch, const std::vector<WatchEvent> &events)
{
    if (watch != m_watchNumber)
        return;
    noteFollowed();
    renewLater();
    const std::vector<WatchEvent> fresh = newEvents(events);
    if (fresh.empty() || m_hooks.onChanges(fresh))
        return;
    closeWatch();
    read();
}

void PrefixWatcher::State::confirmed(std::uint64_t watch, TimePoint askedAt)
{
    if (watch != m_watchNumber)
        return;
    noteFollowed();
    renewLater();
    if (m_hooks.onConfirmed)
        m_hooks.onConfirmed(askedAt);
}

void PrefixWatcher::State::ended(std::uint64_t watch, const Error &error)
{
    if (watch != m_watchNumber)
        return;
    closeWatch();
    if (error.code == ErrorCode::Stale)
        read();
    else
        backOff(error, [](State &self) { self.watch(); });
}

void PrefixWatcher::State::closeWatch()
{
    ++m_watchNumber;
    if (const auto stream = std::exchange(m_stream, nullptr))
        stream->cancel();
}

void PrefixWatcher::State::renewLater()
{
    schedule(jittered(m_settings.idleTimeout), [](State &self) { self.watch(); });
}

void PrefixWatcher::State::schedule(milliseconds delay, Work work)
{
    m_timer.once(delay, [post = poster(), work = std::move(work)] { post(work); });
}

void PrefixWatcher::State::backOff(const Error &error, Work work)
{
    if (m_hooks.onError)
        m_hooks.onError(error);
    m_isFollowed = false;
    if (!std::exchange(m_lostReported, true) && m_hooks.onUnavailable)
        m_hooks.onUnavailable(error);
    m_backOff = std::clamp(m_backOff * 2, m_settings.minBackoff, m_settings.maxBackoff);
    schedule(jittered(m_backOff), std::move(work));
}

void PrefixWatcher::State::noteFollowed()
{
    m_backOff = milliseconds(0);
    m_lostReported = false;
    if (!std::exchange(m_isFollowed, true) && m_hooks.onAvailable)
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
