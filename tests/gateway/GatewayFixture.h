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

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief A store whose reads and watches the test answers itself.
class ListedStore : public KeyValueClient
{
public:
    void get(const std::string &, RangeHook) override { }
    void range(const std::string &, RangeHook hook) override { reads->put(std::move(hook)); }
    void compareAndSwap(const std::string &, const std::string &, StoreRevision, WriteHook,
                        StoreLease) override
    {
    }
    void compareAndDelete(const std::string &, StoreRevision, WriteHook) override { }
    void grantLease(std::chrono::seconds, LeaseHook) override { }
    void keepAlive(StoreLease, RenewalHook) override { }
    std::shared_ptr<Http1Stream> watch(const std::string &, StoreRevision,
                                       WatchHooks hooks) override
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
/// Wire format of the test: requests have the headers `id`, `key`, `last` (event id), `patience` in
/// milliseconds, `output` in tokens, `copy-to` and `copy-at`, `parts` of the prompt, and
/// `time-left` in milliseconds, and are refused with `malformed`; a response with `full` was not
/// run, one with `signed` is signed, `id` is the request that it answers, `limit` is a rate limit,
/// `leaving` says that the server leaves if its value is `1`, and with status 503 `pause` is a
/// pause in milliseconds. A load report lists the run that is asked for, and with `unlisted` one
/// run that waits. The codec throws on a message with `unreadable`, on sending a request with
/// `unsendable` and on forwarding an answer with `unforwardable`. A server's entry in the store is
/// its zone.
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
    void call(const std::string &path, const std::string &key = "good",
              std::vector<HttpHeader> headers = {});
    int readiness();
    /// \brief Text of the gateway's metrics.
    std::string metrics();
    static BackendCodec codec();
    virtual StoreSchema schema() const;
    static RouteConfig config();
    static std::string eventText(int id);
    /// \param id of the request that it answers
    static HttpResponse signedAnswer(std::string body, const std::string &id = "1");

    std::optional<WorkerPool> m_pool;
    std::optional<Http1Client> m_client;
    std::shared_ptr<Mailbox<ReceivedRequest>> m_received =
        std::make_shared<Mailbox<ReceivedRequest>>();
    std::shared_ptr<Mailbox<Result<HttpResponse>>> m_answers =
        std::make_shared<Mailbox<Result<HttpResponse>>>();
    /// Probes of the servers' load are put into m_received, in place of being answered at once.
    std::atomic<bool> m_receivesProbes = false;
    /// Headers of all load reports; to be set before the first one is requested.
    std::shared_ptr<std::vector<HttpHeader>> m_reportHeaders =
        std::make_shared<std::vector<HttpHeader>>();
    /// Of the next gateway.
    std::size_t m_memoryMb = 160;
    bool m_limitsPeerMemory = false;
    std::optional<Http1Server> m_servers[2];
    std::uint16_t m_serverPorts[2] = {0, 0};
    ListedStore *m_store = nullptr;    ///< owned by the gateway
    WorkerPool *m_storePool = nullptr; ///< that the gateway gives to the store's client
    std::optional<GatewayNode> m_gateway;
    GatewayPorts m_ports;
    std::optional<WatchHooks> m_watch;
};

} // namespace foxtailring
