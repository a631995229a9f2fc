#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/platform/KeyValueClient.h"
#include "foxtailring/protocol/ConfigUpdate.h"
#include "foxtailring/transport/Timer.h"

#include "SerialQueue.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace foxtailring {

class Http1Client;
class Http1Stream;
struct EntryParts;

/// \brief Follows the operators' resources in the platform's key-value service.
///
/// Reads all of them once and watches from the revision after; reads again when the watch cannot go
/// on from there. A failure is tried again with jittered back-off.
class ConfigWatcher : public std::enable_shared_from_this<ConfigWatcher>
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
    using Work = std::function<void(ConfigWatcher &)>;

    /// Hooks of the client may outlive this object.
    std::function<void(Work)> poster();
    void read();
    void readAnswered(const Result<RangeResult> &result);
    void watch();
    void changed(std::uint64_t watch, const std::vector<WatchEvent> &events);
    void ended(std::uint64_t watch, const Error &error);
    void closeWatch();
    void schedule(std::chrono::milliseconds delay, Work work);
    void backOff(const Error &error, Work work);
    void noteFollowed();

    EntryParts &m_parts;
    KeyValueClient m_client;
    Hook m_apply;
    SerialQueue m_queue;
    Timer m_timer;

    // On the queue.
    std::shared_ptr<Http1Stream> m_stream;
    std::uint64_t m_watchNumber = 0;
    std::int64_t m_revision = 0; ///< everything up to here is applied
    std::chrono::milliseconds m_backOff {0};
    bool m_failing = false;
    bool m_stopped = false;
};

} // namespace foxtailring
