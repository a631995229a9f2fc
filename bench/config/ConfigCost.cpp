#include "ConfigCost.h"

#include "foxtailring/base/ParseJson.h"
#include "foxtailring/decisions/configuration/RouteTable.h"
#include "foxtailring/store/Base64.h"
#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/Http1Client.h"
#include "foxtailring/transport/Http1Responder.h"
#include "foxtailring/transport/Http1Server.h"
#include "foxtailring/transport/WorkerPool.h"

#include "BodyTimeLimit.h"
#include "ConfigDocument.h"
#include "ConfigDocumentText.h"
#include "KvJson.h"
#include "WireFormat.h"

#include <algorithm>
#include <ctime>
#include <functional>
#include <future>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace foxtailring::bench {

namespace {

using boost::asio::ip::tcp;
using nlohmann::json;

// PrefixWatcher and StoreWatch pass an event on in this many copies.
constexpr int copiesOfEvent = 3;
constexpr std::chrono::seconds callTimeout {20};

double threadCpuMs()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) * 1e-6;
}

double cpuMsOf(const std::function<void()> &work)
{
    const double start = threadCpuMs();
    work();
    return threadCpuMs() - start;
}

double medianOf(std::size_t rounds, const std::function<double()> &measure)
{
    std::vector<double> times;
    for (std::size_t i = 0; i < rounds; ++i)
        times.push_back(measure());
    std::nth_element(times.begin(), times.begin() + static_cast<long>(rounds / 2), times.end());
    return times[rounds / 2];
}

/// Processor time that the only thread of a pool has used so far.
double poolCpuMs(WorkerPool &pool)
{
    std::promise<double> time;
    pool.post([&time] { time.set_value(threadCpuMs()); });
    return time.get_future().get();
}

/// A server that answers each request with the same body.
class AnswerServer
{
public:
    explicit AnswerServer(const std::string &body)
        : m_server(m_pool, Endpoint {"127.0.0.1", 0}, HttpLimits {},
                   [body](const HttpRequest &, const std::shared_ptr<Http1Responder> &responder) {
                       responder->respond({200, {}, body});
                   })
        , m_port(m_server.listen().value())
    {
    }

    Endpoint endpoint() const { return {"127.0.0.1", m_port}; }

private:
    WorkerPool m_pool {1};
    Http1Server m_server;
    const std::uint16_t m_port;
};

double httpBodyMs(const std::string &answer, std::size_t rounds)
{
    AnswerServer server(answer);
    WorkerPool pool(1);
    Http1Client client(pool);
    return medianOf(rounds, [&] {
        const double start = poolCpuMs(pool);
        std::promise<std::size_t> size;
        client.request(server.endpoint(), {"GET", "/", {}, ""}, callTimeout,
                       [&size](const Result<HttpResponse> &response) {
                           size.set_value(response ? response.value().body.size() : 0);
                       });
        if (size.get_future().get() != answer.size())
            throw std::runtime_error("the answer did not arrive whole");
        return poolCpuMs(pool) - start;
    });
}

/// What GatewayNode does with each new configuration, with idle connections of callers.
double hooksMs(const std::shared_ptr<const RouteTable> &table, std::size_t connections,
               std::size_t rounds)
{
    WorkerPool pool(1);
    const BackendCodec codec = platform::backendCodec();
    BodyTimeLimit limit(codec);
    Http1Server server(pool, Endpoint {"127.0.0.1", 0}, HttpLimits {},
                       [](const HttpRequest &, const std::shared_ptr<Http1Responder> &) {});
    server.limitBodyTime([&limit](const HttpRequest &head) { return limit.limit(head); });
    const std::uint16_t port = server.listen().value();
    boost::asio::io_context context;
    std::vector<tcp::socket> callers;
    for (std::size_t i = 0; i < connections; ++i)
        callers.emplace_back(context).connect({boost::asio::ip::address_v4::loopback(), port});
    while (server.openConnectionCount() < connections)
        poolCpuMs(pool);
    return medianOf(rounds, [&] {
        const double start = poolCpuMs(pool);
        pool.post([&] {
            limit.setRoutes(table);
            server.setLimits(HttpLimits {});
        });
        // The work for the connections is queued behind the first of these.
        poolCpuMs(pool);
        return poolCpuMs(pool) - start;
    });
}

RouteConfig decoded(const std::string &document)
{
    auto config = platform::decodeConfig(document);
    if (!config)
        throw std::runtime_error(config.error().message);
    return std::move(config).value();
}

} // namespace

ConfigSteps measureConfig(std::size_t routes, std::size_t connections, std::size_t rounds)
{
    const std::string document = configDocumentText(routes);
    const std::string answer = changesAnswerText(document);
    const std::string encoded = toBase64(document);
    const json parsedAnswer = json::parse(answer);
    const platform::KvChanges changes = platform::decodeChanges(parsedAnswer).value();
    const auto time = [rounds](const std::function<void()> &work) {
        return medianOf(rounds, [&] { return cpuMsOf(work); });
    };

    const double answerJson =
        time([&] { const json parsed = json::parse(answer, nullptr, false); });
    const double base64 = time([&] { (void)fromBase64(encoded); });
    const double events = time([&] { (void)platform::decodeChanges(parsedAnswer); });
    const double copies = time([&] {
        for (int i = 0; i < copiesOfEvent; ++i)
            const std::vector<WatchEvent> copy = changes.events;
    });
    const double documentJson = time([&] { (void)parseJson(document); });
    const double config = time([&] { (void)decoded(document); });
    std::unique_ptr<RouteTable> table;
    const double build = medianOf(rounds, [&] {
        RouteConfig one = decoded(document);
        return cpuMsOf([&] { table = std::make_unique<RouteTable>(std::move(one)); });
    });
    const double destroy = medianOf(rounds, [&] {
        table = std::make_unique<RouteTable>(decoded(document));
        return cpuMsOf([&] { table.reset(); });
    });
    const auto inForce = std::make_shared<const RouteTable>(decoded(document));

    ConfigSteps result {routes, document.size(), answer.size(), {}};
    result.steps = {{{"httpBody", httpBodyMs(answer, rounds)},
                     {"answerJson", answerJson},
                     {"base64", base64},
                     {"eventCopies", std::max(events - base64, 0.0) + copies},
                     {"documentJson", documentJson},
                     {"routeConfig", std::max(config - documentJson, 0.0)},
                     {"routeTable", build},
                     {"hooks", hooksMs(inForce, connections, rounds)},
                     {"oldTable", destroy}}};
    return result;
}

} // namespace foxtailring::bench
