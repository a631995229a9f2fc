#pragma once

#include <functional>
#include <memory>
#include <mutex>

namespace foxtailring {

class Http1Responder;
struct EntryParts;
struct HttpRequest;

/// \brief Admin HTTP port: `/metrics`, `/healthz`, `/readyz`, and `/operator/` for its handler.
class AdminPort
{
public:
    using Handler = std::function<void(HttpRequest, std::shared_ptr<Http1Responder>)>;

    /// \param isReady whether this entry takes new requests and will go on doing so
    AdminPort(EntryParts &parts, std::function<bool()> isReady);

    void setOperatorHandler(Handler handler);
    void handle(HttpRequest request, std::shared_ptr<Http1Responder> responder);

private:
    void publishGauges();

    EntryParts &m_parts;
    std::function<bool()> m_isReady;
    std::mutex m_mutex;
    Handler m_operatorHandler;
};

} // namespace foxtailring
