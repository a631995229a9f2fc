#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/operator/RolloutReport.h"
#include "foxtailring/transport/Endpoint.h"

#include <memory>
#include <string>

namespace foxtailring {

/// \brief Reads from the gateways' store how the roll-out of a service stands.
class RolloutStore
{
public:
    RolloutStore(const Endpoint &address, std::string service);
    ~RolloutStore();

    /// \brief Reads order, status and the evidence of all gateways. Any error of the store's
    /// client; Malformed: the order or the status.
    Result<RolloutReport::Input> read();

private:
    struct Client;

    const std::string m_service;
    const std::unique_ptr<Client> m_client;
};

} // namespace foxtailring
