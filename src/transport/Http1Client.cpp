#include "foxtailring/transport/Http1Client.h"

#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/Http1Stream.h"
#include "foxtailring/transport/WorkerPool.h"
#include "HookGuard.h"
#include "Http1ClientExchange.h"
#include "HttpWire.h"
#include "IdleConnections.h"

#include <boost/asio/post.hpp>

namespace foxtailring {

namespace {

// Holds a weak reference, so that a handle that is kept for long holds no connection open.
class StreamHandle : public Http1Stream
{
public:
    explicit StreamHandle(std::weak_ptr<Http1ClientExchange> exchange)
        : m_exchange(std::move(exchange))
    {
    }

    void cancel() override
    {
        if (const auto exchange = m_exchange.lock())
            exchange->cancel(ErrorCode::Closed, "cancelled by this side");
    }

private:
    const std::weak_ptr<Http1ClientExchange> m_exchange;
};

// Buffers a streamed response for a ResponseHook.
struct WholeResponse
{
    HttpResponse response;
    Http1Client::ResponseHook hook;
    std::weak_ptr<Http1ClientExchange> exchange;
    std::size_t maxBodyBytes = 0;
    bool isTooLarge = false;

    void append(std::string_view bytes);
    void close(const Result<Done> &result);
};

void WholeResponse::append(std::string_view bytes)
{
    if (isTooLarge)
        return;
    isTooLarge = response.body.size() + bytes.size() > maxBodyBytes;
    if (!isTooLarge)
        response.body += bytes;
    else if (const auto locked = exchange.lock())
        locked->cancel(ErrorCode::Malformed, "the response is too large");
}

void WholeResponse::close(const Result<Done> &result)
{
    if (!result.isOk())
        runHook(hook, Result<HttpResponse>(result.error()));
    else if (isTooLarge)
        runHook(hook, Result<HttpResponse>(ErrorCode::Malformed, "the response is too large"));
    else
        runHook(hook, Result<HttpResponse>(std::move(response)));
}

StreamHooks collect(const std::shared_ptr<WholeResponse> &whole)
{
    StreamHooks hooks;
    hooks.onHead = [whole](const HttpResponse &head) { whole->response = head; };
    hooks.onBody = [whole](std::string_view bytes) { whole->append(bytes); };
    hooks.onClosed = [whole](const Result<Done> &result) { whole->close(result); };
    return hooks;
}

const Error unsendableRequest {ErrorCode::InvalidArgument,
                               "method or target of the request has spaces or control characters"};

} // namespace

struct Http1Client::State
{
    explicit State(net::io_context &ioContext)
        : context(ioContext)
    {
    }

    std::shared_ptr<Http1ClientExchange> exchange(const Endpoint &endpoint, HttpRequest request,
                                                  const ExchangeOptions &exchangeOptions,
                                                  std::optional<std::chrono::milliseconds> timeout,
                                                  StreamHooks hooks);

    net::io_context &context;
    const std::shared_ptr<IdleConnections> idle = std::make_shared<IdleConnections>();
};

std::shared_ptr<Http1ClientExchange>
Http1Client::State::exchange(const Endpoint &endpoint, HttpRequest request,
                             const ExchangeOptions &exchangeOptions,
                             std::optional<std::chrono::milliseconds> timeout, StreamHooks hooks)
{
    const bool isPooled = exchangeOptions.maxIdleTime.count() > 0;
    Http1ClientExchange::Options options;
    options.endpoint = endpoint;
    options.isHead = request.method == "HEAD";
    options.exchange = exchangeOptions;
    options.timeout = timeout;
    options.idle = isPooled ? idle : nullptr;
    options.requestBytes = serializeRequest(std::move(request), endpoint.toString(), isPooled);
    auto pooledSocket = isPooled ? idle->take(endpoint, exchangeOptions.maxIdleTime) : std::nullopt;
    return std::make_shared<Http1ClientExchange>(pooledSocket ? std::move(*pooledSocket)
                                                              : Socket(net::make_strand(context)),
                                                 std::move(options), std::move(hooks));
}

Http1Client::Http1Client(WorkerPool &pool)
    : m_state(std::make_shared<State>(pool.context()))
{
}

Http1Client::~Http1Client()
{
    m_state->idle->close();
}

void Http1Client::request(const Endpoint &endpoint, HttpRequest request,
                          std::chrono::milliseconds timeout, ResponseHook hook,
                          ExchangeOptions exchangeOptions)
{
    if (!isSendable(request)) {
        net::post(m_state->context, [hook = std::move(hook)] { runHook(hook, unsendableRequest); });
        return;
    }
    const auto whole = std::make_shared<WholeResponse>();
    whole->hook = std::move(hook);
    whole->maxBodyBytes = exchangeOptions.maxBodyBytes;
    const auto exchange =
        m_state->exchange(endpoint, std::move(request), exchangeOptions, timeout, collect(whole));
    whole->exchange = exchange;
    exchange->start();
}

std::shared_ptr<Http1Stream> Http1Client::stream(const Endpoint &endpoint, HttpRequest request,
                                                 StreamHooks hooks, ExchangeOptions exchangeOptions)
{
    if (!isSendable(request)) {
        net::post(m_state->context,
                  [hook = std::move(hooks.onClosed)] { runHook(hook, unsendableRequest); });
        return std::make_shared<StreamHandle>(std::weak_ptr<Http1ClientExchange>());
    }
    const auto exchange = m_state->exchange(endpoint, std::move(request), exchangeOptions,
                                            std::nullopt, std::move(hooks));
    exchange->start();
    return std::make_shared<StreamHandle>(exchange);
}

void Http1Client::setKeepIdleHook(KeepIdleHook hook)
{
    m_state->idle->setKeepIdleHook(std::move(hook));
}

std::size_t Http1Client::closeIdle(const Endpoint &endpoint)
{
    return m_state->idle->close(endpoint);
}

void Http1Client::closeExpiredIdle()
{
    m_state->idle->closeExpired();
}

std::size_t Http1Client::idleCount() const
{
    return m_state->idle->size();
}

} // namespace foxtailring
