#include "foxtailring/operator/NodeReport.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace foxtailring {

void NodeReport::merge(const NodeStatus &node)
{
    const auto found = std::find_if(m_nodes.begin(), m_nodes.end(),
                                    [&](const NodeStatus &known) { return known.id == node.id; });
    if (found == m_nodes.end()) {
        m_nodes.push_back(node);
        return;
    }
    if (node.revision >= found->revision && node.state != "suspected")
        *found = node;
    found->revision = std::max(found->revision, node.revision);
}

void NodeReport::add(std::span<const NodeStatus> nodes)
{
    for (const auto &node : nodes)
        merge(node);
}

bool NodeReport::addJson(std::string_view json)
{
    const auto parsed = nlohmann::json::parse(json, nullptr, false);
    if (!parsed.is_array())
        return false;
    try {
        for (const auto &item : parsed)
            merge(NodeStatus {item.at("id"), item.at("role"), item.at("state"),
                              item.at("availabilityZone"), item.at("revision")});
    } catch (const nlohmann::json::exception &) {
        return false;
    }
    return true;
}

void NodeReport::addUnreachable(std::string id, std::string role)
{
    merge(NodeStatus {std::move(id), std::move(role), "suspected", "", 0});
}

std::vector<std::string> NodeReport::nodesMissing(std::int64_t revision) const
{
    std::vector<std::string> ids;
    for (const auto &node : m_nodes) {
        if (node.revision < revision)
            ids.push_back(node.id);
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

std::string NodeReport::toJson() const
{
    auto json = nlohmann::json::array();
    for (const auto &node : m_nodes) {
        json.push_back({{"id", node.id},
                        {"role", node.role},
                        {"state", node.state},
                        {"availabilityZone", node.availabilityZone},
                        {"revision", node.revision}});
    }
    return json.dump();
}

} // namespace foxtailring
