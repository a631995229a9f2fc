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

Error epochError()
{
    return {ErrorCode::Stale, "key-value service: the revision or lease is of another epoch"};
}

// Claims carry revisions without an epoch, which are compared by their number alone.
bool hasEpoch(StoreRevision revision)
{
    return revision.number != 0 && revision.epoch != 0;
}

// The call was made before a write, so that the write was not sent.
Error notWritten(const Error &error)
{
    return {ErrorCode::Unavailable, "nothing was written: " + error.message};
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

struct EtcdClient::State : std::enable_shared_from_this<EtcdClient::State>
{
    State(Http1Client &client, const Endpoint &endpoint, std::chrono::milliseconds callTimeout)
        : http(client)
        , service(endpoint)
        , timeout(callTimeout)
    {
    }

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

    void transaction(const nlohmann::json &body, StoreRevision expected, StoreLease lease,
                     WriteHook hook)
    {
        call("/v3/kv/txn", body,
             [expected, lease, hook = std::move(hook)](const Result<nlohmann::json> &reply) {
                 const auto result = decodeReply<WriteResult>(reply, etcd::writeResult);
                 if (!result)
                     return hook(result.error());
                 const std::int64_t epoch = result.value().epoch;
                 const bool isOfAnotherEpoch = (hasEpoch(expected) && expected.epoch != epoch)
                     || (lease.id != 0 && lease.epoch != epoch);
                 if (isOfAnotherEpoch)
                     return hook(epochError());
                 hook(result.value());
             });
    }

    void conditionalWrite(const std::string &key, const nlohmann::json &body,
                          StoreRevision expected, StoreLease lease, WriteHook hook);
    void readEpoch(const std::string &key, bool mayRepeat,
                   std::function<void(const Result<RangeResult> &)> hook);
    void failCondition(const std::string &key, WriteHook hook);

    Http1Client &http;
    Endpoint service;
    std::chrono::milliseconds timeout;
};

// A transaction cannot compare the cluster id, and after a restore the key may have the expected
// revision again with another value. So the epoch is read first. If the store is restored between
// the two calls, the answer of the transaction shows it.
void EtcdClient::State::conditionalWrite(const std::string &key, const nlohmann::json &body,
                                         StoreRevision expected, StoreLease lease, WriteHook hook)
{
    if (!hasEpoch(expected))
        return transaction(body, expected, lease, std::move(hook));
    readEpoch(key, true,
              [self = shared_from_this(), key, body, expected, lease,
               hook = std::move(hook)](const Result<RangeResult> &read) {
                  if (!read)
                      return hook(notWritten(read.error()));
                  if (read.value().epoch != expected.epoch)
                      return self->failCondition(key, hook);
                  self->transaction(body, expected, lease, hook);
              });
}

// A kept-alive connection may be closed just when it is used again.
void EtcdClient::State::readEpoch(const std::string &key, bool mayRepeat,
                                  std::function<void(const Result<RangeResult> &)> hook)
{
    range(etcd::keyOnlyRequest(key),
          [self = shared_from_this(), key, mayRepeat,
           hook = std::move(hook)](const Result<RangeResult> &read) {
              if (!read && read.error().code == ErrorCode::Closed && mayRepeat)
                  return self->readEpoch(key, false, hook);
              hook(read);
          });
}

void EtcdClient::State::failCondition(const std::string &key, WriteHook hook)
{
    range(etcd::rangeRequest(key), [hook = std::move(hook)](const Result<RangeResult> &read) {
        if (!read)
            return hook(notWritten(read.error()));
        WriteResult result;
        result.revision = read.value().revision;
        result.epoch = read.value().epoch;
        if (!read.value().pairs.empty())
            result.current = read.value().pairs.front();
        hook(std::move(result));
    });
}

EtcdClient::EtcdClient(Http1Client &http, const Endpoint &service,
                       std::chrono::milliseconds timeout)
    : m_state(std::make_shared<State>(http, service, timeout))
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
                                StoreRevision expected, WriteHook hook, StoreLease lease)
{
    m_state->conditionalWrite(key,
                              etcd::compareAndSwapRequest(key, value, expected.number, lease.id),
                              expected, lease, std::move(hook));
}

void EtcdClient::compareAndDelete(const std::string &key, StoreRevision expected, WriteHook hook)
{
    m_state->conditionalWrite(key, etcd::compareAndDeleteRequest(key, expected.number), expected,
                              {}, std::move(hook));
}

void EtcdClient::grantLease(std::chrono::seconds timeToLive, LeaseHook hook)
{
    const nlohmann::json body = {{"TTL", std::to_string(timeToLive.count())}};
    m_state->call("/v3/lease/grant", body,
                  [hook = std::move(hook)](const Result<nlohmann::json> &reply) {
                      const auto id = decodeReply<std::int64_t>(reply, etcd::leaseId);
                      if (!id)
                          return hook(id.error());
                      const auto epoch = decodeReply<std::int64_t>(reply, etcd::epoch);
                      if (!epoch)
                          return hook(epoch.error());
                      hook(StoreLease {epoch.value(), id.value()});
                  });
}

void EtcdClient::keepAlive(StoreLease lease, RenewalHook hook)
{
    const nlohmann::json body = {{"ID", std::to_string(lease.id)}};
    m_state->call("/v3/lease/keepalive", body,
                  [lease, hook = std::move(hook)](const Result<nlohmann::json> &reply) {
                      const auto epoch =
                          decodeReply<std::int64_t>(reply, [](const nlohmann::json &json) {
                              return etcd::epoch(json.at("result"));
                          });
                      if (!epoch)
                          return hook(epoch.error());
                      if (epoch.value() != lease.epoch)
                          return hook(epochError());
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
    auto reader = std::make_shared<WatchReader>(std::move(hooks), from.epoch);
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
