#pragma once

#include "foxtailring/gateway/StoreSchema.h"
#include "foxtailring/store/PrefixWatcher.h"

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
    void start();
    void stop();

private:
    PrefixWatcherHooks makeHooks();
    void post(std::function<void()> work);
    void applySnapshot(const RangeResult &read);
    void applyEvents(const std::vector<WatchEvent> &events);
    void applyConfig(const KeyValue &pair);
    void applyServer(const KeyValue &pair);
    void applyPromptCrashReport(const KeyValue &pair, TimePoint writtenAfter);
    void applyRateLimitReports(std::span<const WatchEvent> events);
    void applyGateways(std::span<const WatchEvent> events);
    void applyGatewayDemand(const KeyValue &pair);
    bool isServerKey(std::string_view key) const;
    std::string serverIdOf(std::string_view key) const;

    GatewayParts &m_parts;
    const StoreSchema m_schema;
    std::function<void()> m_configAppliedHook;
    TimePoint m_confirmedAt; ///< all changes until then have been applied
    std::function<void()> m_confirmedHook;
    PrefixWatcher m_watcher;
};

} // namespace foxtailring
