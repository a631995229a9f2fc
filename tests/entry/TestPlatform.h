#pragma once

#include "foxtailring/transport/Http1Responder.h"
#include "foxtailring/transport/Http1Server.h"
#include "foxtailring/transport/HttpRequest.h"
#include "foxtailring/transport/WorkerPool.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace foxtailring::test {

/// \brief The platform's service and VM list in the test's process. Thread-safe.
class TestPlatform
{
public:
    TestPlatform();
    ~TestPlatform();

    std::uint16_t port() const { return m_port; }

    /// \brief Stores a resource, sends it to open watches and returns its revision.
    std::int64_t put(const std::string &kind, const std::string &name, const std::string &spec);
    void setVms(std::string json);
    /// \brief Every request is answered 503.
    void setDown(bool down);
    /// \brief Changes are not sent to watches that are open now, as on a silent connection.
    void silenceWatches();
    /// \brief Watches below this revision are refused as compacted.
    void compact(std::int64_t revision);

    /// \brief Restores the store as it was at \a revision, in a new epoch.
    void restore(std::int64_t revision);

    bool wait(const std::function<bool()> &done);

    // Read under wait().
    std::size_t reads = 0;
    std::size_t polls = 0;

private:
    struct Change
    {
        std::int64_t revision = 0;
        std::string key;
        std::string value;
    };

    void handle(const HttpRequest &request, const std::shared_ptr<Http1Responder> &responder);
    void range(Http1Responder &responder);
    void watch(const std::string &body, const std::shared_ptr<Http1Responder> &responder);
    std::string eventLine(const Change &change) const;
    nlohmann::json header() const;

    WorkerPool m_pool;
    std::unique_ptr<Http1Server> m_server;
    std::uint16_t m_port = 0;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<Change> m_changes;
    std::vector<std::shared_ptr<Http1Responder>> m_watches;
    std::string m_vms = R"({"vms":[]})";
    std::int64_t m_compacted = 0;
    int m_epoch = 1;
    bool m_down = false;
};

} // namespace foxtailring::test
