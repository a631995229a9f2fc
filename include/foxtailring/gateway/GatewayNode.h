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

/// \brief A gateway: takes callers' requests on routes and forwards them to backend servers that it
/// reaches directly.
class GatewayNode
{
public:
    /// \brief Makes the client of the store, which uses the given parts as long as it lives.
    using StoreFactory =
        std::function<std::unique_ptr<KeyValueClient>(WorkerPool &, Http1Client &)>;

    GatewayNode(GatewaySettings settings, BackendCodec codec, StoreSchema schema,
                const StoreFactory &store);
    /// \brief Ends everything at once.
    ~GatewayNode();
    GatewayNode(const GatewayNode &) = delete;
    GatewayNode &operator=(const GatewayNode &) = delete;

    /// \brief Binds all addresses and starts to follow the store. Unavailable: one is taken.
    Result<GatewayPorts> listen();
    /// \brief Turns not ready, lets requests finish, and calls \a drained once.
    void drain(std::function<void()> drained);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace foxtailring
