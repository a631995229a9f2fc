#include "foxtailring/operator/OperatorClient.h"

#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/Http1Client.h"
#include "foxtailring/transport/Http1Stream.h"
#include "foxtailring/transport/HttpRequest.h"
#include "foxtailring/transport/WorkerPool.h"

#include <future>
#include <nlohmann/json.hpp>

namespace foxtailring {

namespace {

// Longer than an entry takes to retry a change and to read it back.
constexpr std::chrono::milliseconds callTimeout {15'000};

std::string resourcePath(const std::string &kind, const std::string &name)
{
    return "/operator/v1/resources/" + kind + '/' + name;
}

HttpHeader preconditionHeader(const std::string &entityTag)
{
    if (entityTag.empty())
        return {"if-none-match", "*"};
    return {"if-match", '"' + entityTag + '"'};
}

ErrorCode errorCodeForStatus(int status)
{
    switch (status) {
    case 400:
    case 428:
        return ErrorCode::InvalidArgument;
    case 401:
        return ErrorCode::Unauthorized;
    case 404:
        return ErrorCode::NotFound;
    case 409:
        return ErrorCode::Conflict;
    case 503:
        return ErrorCode::Unavailable;
    case 504:
        return ErrorCode::Timeout;
    default:
        return ErrorCode::Internal;
    }
}

Result<nlohmann::json> parseResponse(const HttpResponse &response)
{
    auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (response.status == 200 && !body.is_discarded())
        return body;
    const std::string fallback = "entry answered with status " + std::to_string(response.status);
    const std::string detail = body.is_object() ? body.value("detail", fallback) : fallback;
    return Error {errorCodeForStatus(response.status), detail};
}

// Splits received bytes into lines.
class LineSplitter
{
public:
    explicit LineSplitter(const std::function<void(std::string_view)> &onLine)
        : m_onLine(onLine)
    {
    }

    void feed(std::string_view bytes)
    {
        m_pending += bytes;
        std::size_t end = 0;
        while ((end = m_pending.find('\n')) != std::string::npos) {
            m_onLine(std::string_view(m_pending).substr(0, end));
            m_pending.erase(0, end + 1);
        }
    }

private:
    const std::function<void(std::string_view)> &m_onLine;
    std::string m_pending;
};

} // namespace

OperatorClient::OperatorClient(const Endpoint &entry, std::string operatorName)
    : m_pool(std::make_unique<WorkerPool>(1))
    , m_http(std::make_unique<Http1Client>(*m_pool))
    , m_entry(std::make_unique<Endpoint>(entry))
    , m_operatorName(std::move(operatorName))
{
}

OperatorClient::~OperatorClient() = default;

Result<nlohmann::json> OperatorClient::call(HttpRequest request)
{
    request.headers.push_back({"x-operator", m_operatorName});
    auto promise = std::make_shared<std::promise<Result<HttpResponse>>>();
    auto answer = promise->get_future();
    m_http->request(
        *m_entry, std::move(request), callTimeout,
        [promise](Result<HttpResponse> result) { promise->set_value(std::move(result)); });
    const auto result = answer.get();
    if (!result)
        return Error {result.error().code,
                      "entry at " + m_entry->toString() + ": " + result.error().message};
    return parseResponse(result.value());
}

Result<nlohmann::json> OperatorClient::fetchList()
{
    return call({"GET", "/operator/v1/resources", {}, ""});
}

Result<nlohmann::json> OperatorClient::fetchResource(const std::string &kind,
                                                     const std::string &name)
{
    return call({"GET", resourcePath(kind, name), {}, ""});
}

Result<nlohmann::json> OperatorClient::put(const StoredResource &resource,
                                           const std::string &entityTag)
{
    return call({"PUT",
                 resourcePath(resource.kind, resource.name),
                 {preconditionHeader(entityTag)},
                 resource.toJson()});
}

Result<nlohmann::json> OperatorClient::remove(const std::string &kind, const std::string &name,
                                              const std::string &entityTag)
{
    return call({"DELETE", resourcePath(kind, name), {preconditionHeader(entityTag)}, ""});
}

Result<nlohmann::json> OperatorClient::fetchInForce(std::int64_t revision)
{
    const std::string query = revision == 0 ? "" : "?revision=" + std::to_string(revision);
    return call({"GET", "/operator/v1/inforce" + query, {}, ""});
}

Result<nlohmann::json> OperatorClient::fetchStatus()
{
    return call({"GET", "/operator/v1/status", {}, ""});
}

Result<Done> OperatorClient::watch(std::int64_t from,
                                   const std::function<void(std::string_view)> &onLine)
{
    auto endPromise = std::make_shared<std::promise<Result<Done>>>();
    auto endFuture = endPromise->get_future();
    LineSplitter lines(onLine);
    StreamHooks hooks;
    hooks.onBody = [&lines](std::string_view bytes) { lines.feed(bytes); };
    hooks.onClosed = [endPromise](Result<Done> result) {
        endPromise->set_value(std::move(result));
    };
    const auto stream = m_http->stream(
        *m_entry, HttpRequest {"GET", "/operator/v1/watch?from=" + std::to_string(from), {}, ""},
        std::move(hooks));
    return endFuture.get();
}

} // namespace foxtailring
