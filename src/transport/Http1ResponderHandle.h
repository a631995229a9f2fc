#pragma once

#include "foxtailring/transport/Http1Responder.h"

#include <memory>

namespace foxtailring {

class Http1ServerExchange;

/// \brief Responder passed to handlers; posts each call to the strand of the connection.
class Http1ResponderHandle : public Http1Responder
{
public:
    explicit Http1ResponderHandle(std::shared_ptr<Http1ServerExchange> exchange);
    /// \brief Responds with 500, or aborts a started stream, if the response is not complete.
    ~Http1ResponderHandle() override;
    Http1ResponderHandle(const Http1ResponderHandle &) = delete;
    Http1ResponderHandle &operator=(const Http1ResponderHandle &) = delete;

    void respond(HttpResponse response) override;
    void startStream(int status, std::vector<HttpHeader> headers) override;
    void write(std::string chunk) override;
    void finish() override;
    void abort() override;
    void onDisconnect(std::function<void()> hook) override;
    std::size_t pendingBytes() const override;

private:
    template <typename Action>
    void post(Action action);

    const std::shared_ptr<Http1ServerExchange> m_exchange;
};

} // namespace foxtailring
