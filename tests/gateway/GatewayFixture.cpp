#include "GatewayFixture.h"

#include <sstream>

#include <stdexcept>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

HttpRoute route(const std::string &prefix, CallKind kind)
{
    HttpRoute one;
    one.name = prefix;
    one.host = "h";
    one.pathPrefix = prefix;
    one.kind = kind;
    one.isResumable = kind == CallKind::Stream;
    one.maxAttempts = 3;
    one.timeout = milliseconds(20'000);
    // Long enough that a server does not look silent on a busy machine.
    one.latencyObjective = milliseconds(10'000);
    one.maxEventGap = milliseconds(40'000);
    one.targets = {{"engine", 1}};
    return one;
}

void throwIfUnreadable(std::string_view header)
{
    if (!header.empty())
        throw std::runtime_error("unreadable");
}

Result<GatewayRequest> decodeRequest(HttpRequest http)
{
    throwIfUnreadable(http.header("unreadable"));
    if (!http.header("malformed").empty())
        return Error {ErrorCode::InvalidArgument, "malformed"};
    GatewayRequest request;
    request.id = http.header("id");
    request.host = "h";
    request.path = http.target;
    request.apiKey = http.header("key");
    if (const std::string patience(http.header("patience")); !patience.empty())
        request.timeout = milliseconds(std::stoi(patience));
    if (const std::string output(http.header("output")); !output.empty())
        request.maxOutputTokens = std::stoul(output);
    std::istringstream parts {std::string(http.header("parts"))};
    for (std::string part; std::getline(parts, part, ',');)
        request.sharedPromptParts.push_back(part);
    request.http = std::move(http);
    return request;
}

HttpRequest encodeAttempt(const GatewayRequest &caller, const AttemptMetadata &metadata)
{
    throwIfUnreadable(caller.http.header("unsendable"));
    HttpRequest request = caller.http;
    request.headers = {{"id", caller.id},
                       {"server", std::string(metadata.serverId)},
                       {"time-left", std::to_string(metadata.timeLeft.count())}};
    if (!caller.sharedPromptParts.empty())
        request.headers.push_back({"parts", std::string(caller.http.header("parts"))});
    if (metadata.lastEventId)
        request.headers.push_back({"last", std::to_string(*metadata.lastEventId)});
    if (metadata.copyTo)
        request.headers.push_back({"copy-to", *metadata.copyTo});
    if (metadata.fromCopy)
        request.headers.push_back({"copy-at", metadata.fromCopy->address});
    return request;
}

LeavingNotice leavingNotice(const HttpResponse &response)
{
    const std::string_view value = response.header("leaving");
    if (value.empty())
        return LeavingNotice::None;
    return value == "1" ? LeavingNotice::Leaving : LeavingNotice::Unreadable;
}

BackendAnswer decodeAnswer(const HttpResponse &response)
{
    throwIfUnreadable(response.header("unreadable"));
    BackendAnswer answer;
    answer.status = response.status;
    answer.requestId = response.header("id");
    answer.isOtherServer = response.status == 421;
    answer.isNotRun = !response.header("full").empty();
    answer.isSigned = !response.header("signed").empty();
    answer.namesRateLimit = !response.header("limit").empty();
    if (answer.namesRateLimit)
        answer.rateLimit = std::stod(std::string(response.header("limit")));
    answer.leaving = leavingNotice(response);
    answer.namesPause = response.status == 503 && !response.header("pause").empty();
    if (answer.namesPause)
        answer.pause = milliseconds(std::stoi(std::string(response.header("pause"))));
    return answer;
}

} // namespace

void GatewayFixture::setUp()
{
    m_pool.emplace(2);
    m_client.emplace(*m_pool);
    for (int i = 0; i < 2; ++i) {
        const std::string name = i == 0 ? "a" : "b";
        m_servers[i].emplace(*m_pool, Endpoint {"127.0.0.1", 0}, HttpLimits(),
                             [this, box = m_received, reportHeaders = m_reportHeaders, name](
                                 HttpRequest request, std::shared_ptr<Http1Responder> responder) {
                                 if (request.target == "/load" && !m_receivesProbes)
                                     return responder->respond({200, *reportHeaders, ""});
                                 box->put({name, std::move(request), std::move(responder)});
                             });
        m_serverPorts[i] = m_servers[i]->listen().value();
    }
    startGateway(milliseconds(20'000));
}

void GatewayFixture::startGateway(milliseconds maxKeyRevocationDelay, milliseconds maxStartupWait,
                                  milliseconds drainTimeout)
{
    m_gateway.reset();
    GatewaySettings settings;
    settings.nodeId = "g";
    settings.availabilityZone = "a";
    settings.regions = {{"a", "r"}, {"b", "r"}};
    for (Endpoint *endpoint : {&settings.listen, &settings.ready, &settings.metrics})
        *endpoint = {"127.0.0.1", 0};
    settings.maxKeyRevocationDelay = maxKeyRevocationDelay;
    settings.maxStartupWait = maxStartupWait;
    settings.memoryMb = m_memoryMb;
    settings.limitsPeerMemory = m_limitsPeerMemory;
    settings.drainTimeout = drainTimeout;
    auto store = std::make_unique<ListedStore>();
    m_store = store.get();
    m_gateway.emplace(settings, codec(), schema(), [this, &store](WorkerPool &pool, Http1Client &) {
        m_storePool = &pool;
        return std::move(store);
    });
    m_ports = m_gateway->listen().value();
}

void GatewayFixture::tearDown()
{
    m_watch.reset();
    m_gateway.reset();
    m_pool->stop();
    m_received->clear();
    for (auto &server : m_servers)
        server.reset();
    m_client.reset();
    m_pool.reset();
}

void GatewayFixture::startServing()
{
    const auto read = m_store->reads->take();
    read(RangeResult {5, {{"config", "", 1}, {"servers/a", "a", 2}, {"servers/b", "b", 3}}});
    m_watch = m_store->watches->take();
    waitUntil([this] { return readiness() == 200; });
}

void GatewayFixture::call(const std::string &path, const std::string &key,
                          std::vector<HttpHeader> headers)
{
    headers.insert(headers.end(), {{"id", "1"}, {"key", key}});
    m_client->request(
        {"127.0.0.1", m_ports.callers}, {"POST", path, std::move(headers), "body"}, testDeadline,
        [box = m_answers](Result<HttpResponse> answer) { box->put(std::move(answer)); });
}

int GatewayFixture::readiness()
{
    const auto box = std::make_shared<Mailbox<Result<HttpResponse>>>();
    m_client->request({"127.0.0.1", m_ports.ready}, {"GET", "/readyz", {}, ""}, testDeadline,
                      [box](Result<HttpResponse> answer) { box->put(std::move(answer)); });
    return box->take().value().status;
}

std::string GatewayFixture::metrics()
{
    const auto box = std::make_shared<Mailbox<Result<HttpResponse>>>();
    m_client->request({"127.0.0.1", m_ports.metrics}, {"GET", "/metrics", {}, ""}, testDeadline,
                      [box](Result<HttpResponse> answer) { box->put(std::move(answer)); });
    return box->take().value().body;
}

std::string GatewayFixture::eventText(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

HttpResponse GatewayFixture::signedAnswer(std::string body, const std::string &id)
{
    return {200, {{"id", id}, {"signed", "1"}}, std::move(body)};
}

BackendCodec GatewayFixture::codec()
{
    return {decodeRequest,
            encodeAttempt,
            decodeAnswer,
            [] {
                return HttpRequest {"GET", "/load", {}, ""};
            },
            [](const HttpResponse &response, std::string_view) -> Result<ServerProbeResult> {
                throwIfUnreadable(response.header("unreadable"));
                ServerProbeResult report;
                report.hasRun = response.header("unlisted").empty();
                report.listsRuns = !report.hasRun;
                report.load.waiting = report.hasRun ? 0 : 1;
                return report;
            },
            [] {
                return HttpRequest {"GET", "/prompts", {}, ""};
            },
            [](const HttpResponse &, std::string_view) -> Result<ServerProbeResult> {
                return ServerProbeResult {};
            },
            [](std::string_view, const std::string &to) {
                return HttpRequest {"POST", "/copy", {{"copy-to", to}}, ""};
            },
            [](const HttpResponse &response) -> Result<std::string> {
                if (response.status != 200)
                    return Error {ErrorCode::Unavailable, "no copy"};
                return response.body;
            },
            [](const std::string &handle) {
                return HttpRequest {"DELETE", "/copy/" + handle, {}, ""};
            },
            [](const HttpResponse &response) {
                throwIfUnreadable(response.header("unforwardable"));
                return response.headers;
            }};
}

StoreSchema GatewayFixture::schema() const
{
    StoreSchema out;
    out.configKey = "config";
    out.serverKeyPrefix = "servers/";
    // The text `copiesOnDemand` is a configuration in which engines also copy on demand.
    out.decodeConfig = [config = config()](std::string_view text) -> Result<RouteConfig> {
        RouteConfig decoded = config;
        decoded.services.front().copiesOnDemand = text == "copiesOnDemand";
        return decoded;
    };
    out.decodeServer = [this](std::string_view id, std::string_view zone) -> Result<BackendInfo> {
        BackendInfo info;
        info.id = id;
        info.service = "engine";
        info.availabilityZone = zone;
        info.address = "127.0.0.1:" + std::to_string(m_serverPorts[id == "a" ? 0 : 1]);
        info.slots = 4;
        return info;
    };
    return out;
}

RouteConfig GatewayFixture::config()
{
    RouteConfig out;
    out.version = 1;
    out.routes = {route("/once/", CallKind::NonIdempotent), route("/read/", CallKind::Idempotent),
                  route("/stream/", CallKind::Stream)};
    // A stream that was lost twice is cut at once instead of waiting for a third attempt.
    out.routes.push_back(route("/twice/", CallKind::Stream));
    out.routes.back().maxAttempts = 2;
    HttpRoute quick = route("/quick/", CallKind::NonIdempotent);
    HttpRoute slow = route("/slow/", CallKind::Idempotent);
    for (HttpRoute *one : {&quick, &slow}) {
        one->latencyObjective = milliseconds(300);
        out.routes.push_back(*one);
    }
    RoutedService engine;
    engine.name = "engine";
    engine.copiesContinuously = true;
    engine.memoryTokens = 1000;
    out.services = {engine};
    out.hasAccounts = true;
    out.accounts = {{"crew", std::nullopt, {"good"}}};
    return out;
}

} // namespace foxtailring
