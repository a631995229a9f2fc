#pragma once

#include "foxtailring/operator/NodeReport.h"

#include <functional>
#include <string>
#include <vector>

namespace foxtailring {

class Http1Client;

/// \brief Asks other entries for the revisions of their nodes and merges their responses.
class PeerQuery
{
public:
    using Hook = std::function<void(const NodeReport &)>;

    explicit PeerQuery(Http1Client &http);

    /// \brief Calls \a hook once every peer has responded or timed out. A peer without a valid
    /// response is added as unreachable.
    void collect(NodeReport localReport, const std::vector<std::string> &peerAdminAddresses,
                 Hook hook);

private:
    Http1Client &m_http;
};

} // namespace foxtailring
