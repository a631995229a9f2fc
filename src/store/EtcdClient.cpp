#include "foxtailring/store/EtcdClient.h"

#include "EtcdJson.h"
#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/Http1Client.h"
#include "foxtailring/transport/Http1Stream.h"
#include "WatchReader.h"

#include <nlohmann/json.hpp>

namespace foxtailring {

namespace {

using JsonHook = std::function<void(const Result<nlohmann::json> &)>;

// A 5xx maps to Timeout: the write may have been applied, for example when the service timed out
// internally.
ErrorCode errorCodeForStatus(int status)
{
    if (status == 404)
        return ErrorCode::NotFound;
    if (status == 429)
        return ErrorCode::Overloaded;
    return status >= 500 ? ErrorCode::Timeout : ErrorCode::InvalidArgument;
}

std::string errorMessage(const nlohmann::json &body)
{
    const auto message = body.is_object() ? body.find("message") : body.end();
    return message != body.end() && message->is_string() ? message->get<std::string>()
                                                         : "no message";
}

Result<nlohmann::json> parseReply(const Result<HttpResponse> &response)
{
    if (!response)
        return response.error();
    const int status = response.value().status;
    auto body = nlohmann::json::parse(response.value().body, nullptr, false);
    // A proxy in between may send an error without a JSON body; the status alone decides.
    if (status != 200)
        return Error {errorCodeForStatus(status),
                      "key-value service returned status " + std::to_string(status) + ": "
                          + errorMessage(body)};
    if (!body.is_object())
        return Error {ErrorCode::Malformed, "key-value service reply is not a JSON object"};
    return body;
}

template <typename T, typename Decoder>
Result<T> decodeReply(const Result<nlohmann::json> &reply, Decoder decode)
try {
    if (!reply)
        return reply.error();
    return decode(reply.value());
} catch (const nlohmann::json::exception &exception) {
    return Error {ErrorCode::Malformed,
                  std::string("invalid key-value service reply: ") + exception.what()};
}

} // namespace

struct EtcdClient::State
{
    void call(const char *path, const nlohmann::json &body, JsonHook hook)
    {
        HttpRequest request {"POST", path, {{"content-type", "application/json"}}, body.dump()};
        http.request(service, std::move(request), timeout,
                     [hook = std::move(hook)](const Result<HttpResponse> &response) {
                         hook(parseReply(response));
                     });
    }

    void range(const nlohmann::json &body, RangeHook hook)
    {
        call("/v3/kv/range", body, [hook = std::move(hook)](const Result<nlohmann::json> &reply) {
            hook(decodeReply<RangeResult>(reply, etcd::rangeResult));
        });
    }

    void transaction(const nlohmann::json &body, WriteHook hook)
    {
        call("/v3/kv/txn", body, [hook = std::move(hook)](const Result<nlohmann::json> &reply) {
            hook(decodeReply<WriteResult>(reply, etcd::writeResult));
        });
    }

    Http1Client &http;
    Endpoint service;
    std::chrono::milliseconds timeout;
};

EtcdClient::EtcdClient(Http1Client &http, const Endpoint &service,
                       std::chrono::milliseconds timeout)
    : m_state(new State {http, service, timeout})
{
}

EtcdClient::~EtcdClient() = default;

void EtcdClient::get(const std::string &key, RangeHook hook)
{
    m_state->range(etcd::rangeRequest(key), std::move(hook));
}

void EtcdClient::range(const std::string &prefix, RangeHook hook)
{
    m_state->range(etcd::prefixRequest(prefix), std::move(hook));
}

void EtcdClient::compareAndSwap(const std::string &key, const std::string &value,
                                std::int64_t expectedRevision, WriteHook hook, StoreLease lease)
{
    m_state->transaction(etcd::compareAndSwapRequest(key, value, expectedRevision, lease.id),
                         std::move(hook));
}

void EtcdClient::compareAndDelete(const std::string &key, std::int64_t expectedRevision,
                                  WriteHook hook)
{
    m_state->transaction(etcd::compareAndDeleteRequest(key, expectedRevision), std::move(hook));
}

void EtcdClient::grantLease(std::chrono::seconds timeToLive, LeaseHook hook)
{
    const nlohmann::json body = {{"TTL", std::to_string(timeToLive.count())}};
    m_state->call("/v3/lease/grant", body,
                  [hook = std::move(hook)](const Result<nlohmann::json> &reply) {
                      const auto id = decodeReply<std::int64_t>(reply, etcd::leaseId);
                      if (!id)
                          return hook(id.error());
                      hook(StoreLease {0, id.value()});
                  });
}

void EtcdClient::keepAlive(StoreLease lease, RenewalHook hook)
{
    const nlohmann::json body = {{"ID", std::to_string(lease.id)}};
    m_state->call("/v3/lease/keepalive", body,
                  [hook = std::move(hook)](const Result<nlohmann::json> &reply) {
                      const auto remainingSeconds =
                          decodeReply<std::int64_t>(reply, [](const nlohmann::json &json) {
                              return etcd::integer(json.at("result"), "TTL");
                          });
                      if (!remainingSeconds)
                          return hook(remainingSeconds.error());
                      if (remainingSeconds.value() <= 0)
                          return hook(Error {ErrorCode::NotFound, "the lease has expired"});
                      hook(std::chrono::seconds(remainingSeconds.value()));
                  });
}

std::shared_ptr<Http1Stream> EtcdClient::watch(const std::string &prefix, StoreRevision from,
                                               WatchHooks hooks)
{
    auto reader = std::make_shared<WatchReader>(std::move(hooks));
    StreamHooks stream;
    stream.onHead = [reader](const HttpResponse &head) {
        if (head.status != 200)
            reader->end({ErrorCode::Unavailable,
                         "watch rejected with status " + std::to_string(head.status)});
    };
    stream.onBody = [reader](std::string_view bytes) { reader->feed(bytes); };
    stream.onClosed = [reader](const Result<Done> &result) {
        reader->end(result ? Error {ErrorCode::Closed, "the watch stream ended"} : result.error());
    };
    HttpRequest request {"POST",
                         "/v3/watch",
                         {{"content-type", "application/json"}},
                         etcd::watchRequest(prefix, from.number).dump()};
    return m_state->http.stream(m_state->service, std::move(request), std::move(stream));
}

} // namespace foxtailring
