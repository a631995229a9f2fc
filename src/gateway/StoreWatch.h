#pragma once

#include "foxtailring/base/StoreRevision.h"
#include "foxtailring/decisions/membership/RereadPacing.h"
#include "foxtailring/gateway/StoreSchema.h"
#include "foxtailring/store/PrefixWatcher.h"
#include "foxtailring/transport/Timer.h"

#include "ConfigDecoder.h"
#include "RolloutWatch.h"
#include "SpeedReportWatch.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

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
    /// A proof of keys that waits until the configurations offered before it were decoded.
    struct WaitingProof
    {
        std::uint64_t offer = 0;
        TimePoint queriedAt;
        bool isOfAllKeys = false; ///< not of the configuration alone
    };

    /// A value of the configuration's key that was given to the decoder.
    struct OfferedConfig
    {
        StoreRevision revision;
        std::size_t valueHash = 0; ///< a store without epochs may repeat a revision

        bool operator==(const OfferedConfig &) const = default;
    };

    PrefixWatcherHooks makeHooks();
    void post(std::function<void()> work);
    void applySnapshot(const RangeResult &read, TimePoint readAt);
    void recordInterruptedRead();
    bool startEpoch(const RangeResult &read);
    void onHistoryLost(std::chrono::milliseconds untilRead);
    void readConfig();
    void onBehind();
    void applyConfigRead(const RangeResult &read, TimePoint requestedAt, TimePoint readAt);
    void recordEpoch(std::int64_t epoch);
    void applySettledEpoch(const KeyValue &pair);
    void updateRereadSpread();
    std::chrono::milliseconds randomRereadDelay() const;
    void applyEvents(const std::vector<WatchEvent> &events, TimePoint readAt);
    void offerConfigs(std::vector<ConfigDecoder::Candidate> candidates);
    void onConfigDecoded(const ConfigDecoder::Outcome &outcome);
    void putInForce(const ConfigDecoder::Outcome &outcome);
    void recordProof(TimePoint queriedAt, bool isOfAllKeys);
    void recordWaitingProofs();
    void recordUnreadable(const ConfigDecoder::Outcome &outcome);
    void applyServer(const KeyValue &pair);
    /// Logs and counts an entry whose service the configuration does not name.
    void reportUnnamedService(const BackendInfo &server);
    void applyCrashReport(const KeyValue &pair, TimePoint writtenAfter);
    void recordFleetBytes(std::span<const WatchEvent> events, TimePoint readAt);
    void applyRateLimitReports(std::span<const WatchEvent> events);
    void applyGateways(std::span<const WatchEvent> events);
    void reportRevision(std::int64_t revision);
    void applyGatewayDemand(const KeyValue &pair);
    bool isServerKey(std::string_view key) const;
    std::string serverIdOf(std::string_view key) const;

    GatewayParts &m_parts;
    KeyValueClient &m_client;
    const StoreSchema m_schema;
    RolloutWatch m_rolloutWatch;
    SpeedReportWatch m_speedReportWatch;
    std::function<void()> m_configAppliedHook;
    TimePoint m_confirmedAt; ///< all changes until then have been applied
    std::function<void()> m_confirmedHook;
    std::function<void()> m_restoredHook;
    /// Of the last full read; unknownEpoch: see recordInterruptedRead().
    std::optional<std::int64_t> m_epoch;
    bool m_isReadDue = false;      ///< all keys are to be read again
    std::size_t m_callsOfRead = 1; ///< that the last full read took
    const RereadPacing m_rereadPacing;
    /// Used by the watcher's threads too.
    std::atomic<std::chrono::milliseconds::rep> m_rereadSpreadMs = 0;
    std::optional<OfferedConfig> m_newestOffer; ///< the latest value offered
    std::uint64_t m_offeredConfig = 0;          ///< number of the last offer to the decoder
    std::uint64_t m_decodedConfig = 0;          ///< number of the last offer whose outcome is known
    TimePoint m_unnamedServiceReportAt;         ///< not before then
    std::deque<WaitingProof> m_waitingProofs;
    /// Newest configuration in the store, while it cannot be decoded: the keys are not known.
    std::optional<StoreRevision> m_unreadableConfig;
    TimePoint m_configReadAt; ///< start of the last read of the configuration alone
    ConfigDecoder m_decoder;
    Timer m_configTimer; ///< reads the configuration alone until all keys were read
    Timer m_holdTimer;   ///< ends the time in which a store that may be restored confirms no keys
    PrefixWatcher m_watcher;
};

} // namespace foxtailring
