#pragma once

#include "foxtailring/decisions/RereadPacing.h"
#include "foxtailring/gateway/StoreSchema.h"
#include "foxtailring/store/PrefixWatcher.h"
#include "foxtailring/transport/Timer.h"

#include <atomic>
#include <optional>
#include <span>

namespace foxtailring {

class KeyValueClient;
struct GatewayParts;

/// \brief Applies the store's configuration and server list to the gateway, and records when the
/// store last confirmed them.
class StoreWatch
{
public:
    /// \param parts and \a client must live as long as the watch
    StoreWatch(GatewayParts &parts, KeyValueClient &client, StoreSchema schema);

    /// \brief \a hook runs on the queue after each new configuration was applied.
    void onConfigApplied(std::function<void()> hook) { m_configAppliedHook = std::move(hook); }
    /// \brief \a hook runs on the queue whenever the store has confirmed that every change so far
    /// was delivered.
    void onConfirmed(std::function<void()> hook) { m_confirmedHook = std::move(hook); }
    /// \brief \a hook runs on the queue after a store that was restored from a backup was read.
    void onRestored(std::function<void()> hook) { m_restoredHook = std::move(hook); }
    void start();
    void stop();

private:
    PrefixWatcherHooks makeHooks();
    void post(std::function<void()> work);
    void applySnapshot(const RangeResult &read);
    void recordInterruptedRead();
    bool startEpoch(const RangeResult &read);
    void onHistoryLost();
    void readConfig();
    void applyConfigRead(const RangeResult &read, TimePoint requestedAt);
    void holdKeys(std::int64_t epoch);
    void updateRereadSpread();
    std::chrono::milliseconds randomRereadDelay() const;
    void applyEvents(const std::vector<WatchEvent> &events);
    void applyConfig(const KeyValue &pair);
    void applyServer(const KeyValue &pair);
    void applyPromptCrashReport(const KeyValue &pair, TimePoint writtenAfter);
    void applyRateLimitReports(std::span<const WatchEvent> events);
    void applyGateways(std::span<const WatchEvent> events);
    void reportRevision(std::int64_t revision);
    void applyGatewayDemand(const KeyValue &pair);
    bool isServerKey(std::string_view key) const;
    std::string serverIdOf(std::string_view key) const;

    GatewayParts &m_parts;
    KeyValueClient &m_client;
    const StoreSchema m_schema;
    std::function<void()> m_configAppliedHook;
    TimePoint m_confirmedAt; ///< all changes until then have been applied
    std::function<void()> m_confirmedHook;
    std::function<void()> m_restoredHook;
    /// Of the last full read; unknownEpoch: see recordInterruptedRead().
    std::optional<std::int64_t> m_epoch;
    std::optional<std::int64_t> m_seenEpoch; ///< of the last read, full or of the configuration
    bool m_isReadDue = false;                ///< all keys are to be read again
    std::size_t m_callsOfRead = 1;           ///< that the last full read took
    const RereadPacing m_rereadPacing;
    /// Used by the watcher's threads too.
    std::atomic<std::chrono::milliseconds::rep> m_rereadSpreadMs = 0;
    Timer m_configTimer; ///< reads the configuration alone until all keys were read
    Timer m_holdTimer;   ///< ends the time in which a restored store confirms no keys
    PrefixWatcher m_watcher;
};

} // namespace foxtailring
