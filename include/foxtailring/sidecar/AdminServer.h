#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/sidecar/SidecarContext.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace foxtailring {

class Http1Responder;
class Http1Server;
struct HttpRequest;

/// \brief Admin HTTP port: `/metrics`, `/healthz`, `/readyz` and `POST /drain`.
class AdminServer
{
public:
    /// \param drain starts draining
    AdminServer(const SidecarContext &context, std::function<void()> drain);
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    /// \brief Binds and accepts; returns the port. Unavailable when the address is taken.
    Result<std::uint16_t> listen();
    void close();

private:
    std::unique_ptr<Http1Server> m_server;
};

} // namespace foxtailring
