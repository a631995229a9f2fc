#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/protocol/ConfigUpdate.h"
#include "foxtailring/store/EtcdClient.h"
#include "foxtailring/store/PrefixWatcher.h"

#include <cstdint>
#include <functional>
#include <span>

namespace foxtailring {

class Http1Client;
struct EntryParts;

/// \brief Follows the operators' resources in the platform's key-value service.
class ConfigWatcher
{
public:
    using Hook = std::function<Result<Done>(const ConfigUpdate &)>;

    /// \param http must live as long as the watcher
    ConfigWatcher(EntryParts &parts, Http1Client &http, Hook apply);

    void start();
    void stop();

    static ConfigUpdate fullUpdate(const RangeResult &read);
    /// \brief Changes on top of revision \a base.
    static ConfigUpdate delta(std::span<const WatchEvent> events, std::int64_t base);

private:
    PrefixWatcherHooks watcherHooks();
    void takeSnapshot(const RangeResult &read);
    bool apply(const ConfigUpdate &update);

    EntryParts &m_parts;
    Hook m_apply;
    EtcdClient m_client;
    // Used by the watcher's hooks.
    std::int64_t m_revision = 0; ///< everything up to here is applied
    std::int64_t m_epoch = 0;    ///< of the store, in which the revision is valid
    PrefixWatcher m_watcher;
};

} // namespace foxtailring
