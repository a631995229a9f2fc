#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/gateway/BackendCodec.h"
#include "foxtailring/gateway/GatewayPorts.h"
#include "foxtailring/gateway/GatewaySettings.h"
#include "foxtailring/gateway/StoreSchema.h"

#include <functional>
#include <memory>

namespace foxtailring {

class Http1Client;
class KeyValueClient;
class WorkerPool;

/// \brief A gateway: accepts callers' requests and forwards them to backend servers according to
/// its routes.
class GatewayNode
{
public:
    /// \brief Makes the client of the store; both arguments outlive it.
    using StoreFactory =
        std::function<std::unique_ptr<KeyValueClient>(WorkerPool &, Http1Client &)>;

    GatewayNode(GatewaySettings settings, BackendCodec codec, StoreSchema schema,
                const StoreFactory &store);
    /// \brief Closes all connections without waiting for requests.
    ~GatewayNode();
    GatewayNode(const GatewayNode &) = delete;
    GatewayNode &operator=(const GatewayNode &) = delete;

    /// \brief Binds all addresses and starts to watch the store. Unavailable: an address is in use.
    Result<GatewayPorts> listen();
    /// \brief Fails the readiness probe and lets requests finish; calls \a drained once when they
    /// have, or shortly before the drain timeout.
    void drain(std::function<void()> drained);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace foxtailring
