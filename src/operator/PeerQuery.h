#pragma once

#include "foxtailring/operator/NodeReport.h"

#include <functional>
#include <string>
#include <vector>

namespace foxtailring {

class Http1Client;

/// \brief Asks other entries which nodes have which revision and adds their answers up.
class PeerQuery
{
public:
    using Hook = std::function<void(const NodeReport &)>;

    explicit PeerQuery(Http1Client &http);

    /// \brief Calls \a hook once every peer has answered or timed out; silent peers are missing.
    void collect(NodeReport own, const std::vector<std::string> &peerAdminAddresses, Hook hook);

private:
    Http1Client &m_http;
};

} // namespace foxtailring
