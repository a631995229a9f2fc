#pragma once

#include "foxtailring/operator/NodeStatus.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief Configuration revisions of all nodes, merged from the views of several entries.
class NodeReport
{
public:
    /// \brief Merges one entry's view; each node keeps the highest revision reported for it.
    void add(std::span<const NodeStatus> nodes);
    /// \brief Merges the toJson() output of another entry. Returns false when it is malformed.
    bool addJson(std::string_view json);
    /// \brief Adds a node whose revision is unknown because it did not respond.
    void addUnreachable(std::string id, std::string role);

    const std::vector<NodeStatus> &nodes() const { return m_nodes; }
    /// \brief Ids of nodes that have not acknowledged \a revision.
    ///
    /// Includes nodes that no entry reaches: while the VM list names them, they may still serve
    /// requests.
    std::vector<std::string> nodesMissing(std::int64_t revision) const;
    std::string toJson() const;

private:
    void merge(const NodeStatus &node);

    std::vector<NodeStatus> m_nodes;
};

} // namespace foxtailring
