#pragma once

#include "foxtailring/gateway/GatewayNode.h"
#include "foxtailring/store/KeyValueClient.h"
#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/Http1Client.h"
#include "foxtailring/transport/Http1Responder.h"
#include "foxtailring/transport/Http1Server.h"
#include "foxtailring/transport/Http1Stream.h"
#include "foxtailring/transport/WorkerPool.h"
#include "Mailbox.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>

namespace foxtailring {

/// \brief A store whose reads and watches the test answers itself.
class ListedStore : public KeyValueClient
{
public:
    void get(const std::string &, RangeHook) override { }
    void range(const std::string &, RangeHook hook) override { reads->put(std::move(hook)); }
    void compareAndSwap(const std::string &, const std::string &, std::int64_t, WriteHook,
                        std::int64_t) override
    {
    }
    void compareAndDelete(const std::string &, std::int64_t, WriteHook) override { }
    void grantLease(std::chrono::seconds, LeaseHook) override { }
    void keepAlive(std::int64_t, LeaseHook) override { }
    std::shared_ptr<Http1Stream> watch(const std::string &, std::int64_t, WatchHooks hooks) override
    {
        watches->put(std::move(hooks));
        return nullptr;
    }

    std::shared_ptr<Mailbox<RangeHook>> reads = std::make_shared<Mailbox<RangeHook>>();
    std::shared_ptr<Mailbox<WatchHooks>> watches = std::make_shared<Mailbox<WatchHooks>>();
};

/// \brief A gateway with real connections to two backend servers, `a` and `b`; the test answers
/// each of their requests itself.
///
/// Wire format of the test: requests have the headers `id`, `key`, `last` (event id), `copy-to` and
/// `copy-at`; a response with `full` was not run, one with `signed` is signed, and `limit` is a
/// rate limit. A server's entry in the store is its zone.
class GatewayFixture : public CppUnit::TestFixture
{
public:
    struct ReceivedRequest
    {
        std::string server;
        HttpRequest request;
        std::shared_ptr<Http1Responder> responder;
    };

    void setUp() override;
    void tearDown() override;

protected:
    /// \brief Replaces the gateway by one with these settings.
    void startGateway(std::chrono::milliseconds maxKeyRevocationDelay,
                      std::chrono::milliseconds maxStartupWait = testDeadline,
                      std::chrono::milliseconds drainTimeout = std::chrono::seconds(8));
    /// \brief Answers the first read of the store with the configuration and the servers `a` and
    /// `b`, one in each zone, and waits until the gateway is ready.
    void startServing();
    void call(const std::string &path, const std::string &key = "good");
    int readiness();
    static BackendCodec codec();
    StoreSchema schema() const;
    static std::string eventText(int id);
    static HttpResponse signedAnswer(std::string body);

    std::optional<WorkerPool> m_pool;
    std::optional<Http1Client> m_client;
    std::shared_ptr<Mailbox<ReceivedRequest>> m_received =
        std::make_shared<Mailbox<ReceivedRequest>>();
    std::shared_ptr<Mailbox<Result<HttpResponse>>> m_answers =
        std::make_shared<Mailbox<Result<HttpResponse>>>();
    std::optional<Http1Server> m_servers[2];
    std::uint16_t m_serverPorts[2] = {0, 0};
    ListedStore *m_store = nullptr; ///< owned by the gateway
    std::optional<GatewayNode> m_gateway;
    GatewayPorts m_ports;
    std::optional<WatchHooks> m_watch;

private:
    static RouteConfig config();
};

} // namespace foxtailring
