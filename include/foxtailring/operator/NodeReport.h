#pragma once

#include "foxtailring/operator/NodeStatus.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief Which nodes have a configuration revision, put together from several entries' views.
class NodeReport
{
public:
    /// \brief Adds one entry's view; the highest revision seen of a node counts.
    void add(std::span<const NodeStatus> nodes);
    /// \brief Adds the JSON array that toJson() of another entry gave; false when it is malformed.
    bool addJson(std::string_view json);
    /// \brief Names a node whose revision could not be asked for.
    void addUnreachable(std::string id, std::string role);

    const std::vector<NodeStatus> &nodes() const { return m_nodes; }
    /// \brief Ids of nodes that have not acknowledged \a revision.
    ///
    /// Also those that no entry reaches: while the VM list names them, they may be at work.
    std::vector<std::string> nodesMissing(std::int64_t revision) const;
    std::string toJson() const;

private:
    void merge(const NodeStatus &node);

    std::vector<NodeStatus> m_nodes;
};

} // namespace foxtailring
