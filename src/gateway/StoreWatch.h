#pragma once

#include "foxtailring/gateway/ListReader.h"
#include "foxtailring/store/PrefixWatcher.h"

#include <span>

namespace foxtailring {

class KeyValueClient;
struct GatewayParts;

/// \brief Keeps configuration, server list and the freshness of keys as the store has them.
class StoreWatch
{
public:
    /// \param parts and \a client must live as long as the watch
    StoreWatch(GatewayParts &parts, KeyValueClient &client, ListReader reader);

    /// \brief \a hook runs on the queue after a configuration came into force.
    void onConfig(std::function<void()> hook) { m_configHook = std::move(hook); }
    /// \brief \a hook runs on the queue whenever the store has shown that all is known.
    void onConfirmed(std::function<void()> hook) { m_confirmedHook = std::move(hook); }
    void start();
    void stop();

private:
    PrefixWatcherHooks hooks();
    void onQueue(std::function<void()> work);
    void replace(const RangeResult &read);
    void change(const std::vector<WatchEvent> &events);
    void applyConfig(const KeyValue &pair);
    void applyServer(const KeyValue &pair);
    bool isServerKey(std::string_view key) const;
    std::string idOf(std::string_view key) const;

    GatewayParts &m_parts;
    const ListReader m_reader;
    std::function<void()> m_configHook;
    std::function<void()> m_confirmedHook;
    PrefixWatcher m_follower;
};

} // namespace foxtailring
