#include "Http1ResponderHandle.h"

#include "Http1ServerExchange.h"
#include "Net.h"

#include <boost/asio/post.hpp>

namespace foxtailring {

Http1ResponderHandle::Http1ResponderHandle(std::shared_ptr<Http1ServerExchange> exchange)
    : m_exchange(std::move(exchange))
{
}

Http1ResponderHandle::~Http1ResponderHandle()
{
    post([](Http1ServerExchange &exchange) { exchange.onResponderDestroyed(); });
}

template <typename Action>
void Http1ResponderHandle::post(Action action)
{
    net::post(m_exchange->strand(),
              [exchange = m_exchange, action = std::move(action)]() mutable { action(*exchange); });
}

void Http1ResponderHandle::respond(HttpResponse response)
{
    m_exchange->pendingBytes += response.body.size();
    post([response = std::move(response)](Http1ServerExchange &exchange) mutable {
        exchange.respond(std::move(response));
    });
}

void Http1ResponderHandle::startStream(int status, std::vector<HttpHeader> headers)
{
    post([status, headers = std::move(headers)](Http1ServerExchange &exchange) {
        exchange.startStream(status, headers);
    });
}

void Http1ResponderHandle::write(std::string chunk)
{
    m_exchange->pendingBytes += chunk.size();
    post([chunk = std::move(chunk)](Http1ServerExchange &exchange) { exchange.write(chunk); });
}

void Http1ResponderHandle::finish()
{
    post([](Http1ServerExchange &exchange) { exchange.finish(); });
}

void Http1ResponderHandle::abort()
{
    post([](Http1ServerExchange &exchange) { exchange.abort(); });
}

void Http1ResponderHandle::onDisconnect(std::function<void()> hook)
{
    post([hook = std::move(hook)](Http1ServerExchange &exchange) mutable {
        exchange.setDisconnectHook(std::move(hook));
    });
}

std::size_t Http1ResponderHandle::pendingBytes() const
{
    return m_exchange->pendingBytes;
}

} // namespace foxtailring
