#include "YamlJson.h"

#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

namespace foxtailring {

namespace {

// yaml-cpp gives quoted scalars this tag.
constexpr const char *quotedTag = "!";

nlohmann::json scalarToJson(const YAML::Node &node)
{
    if (node.Tag() == quotedTag)
        return node.Scalar();
    std::int64_t integer = 0;
    if (YAML::convert<std::int64_t>::decode(node, integer))
        return integer >= 0 ? nlohmann::json(static_cast<std::uint64_t>(integer))
                            : nlohmann::json(integer);
    double number = 0;
    if (YAML::convert<double>::decode(node, number))
        return number;
    bool flag = false;
    if (YAML::convert<bool>::decode(node, flag))
        return flag;
    return node.Scalar();
}

} // namespace

nlohmann::json yamlToJson(const YAML::Node &node)
{
    if (node.IsScalar())
        return scalarToJson(node);
    if (node.IsSequence()) {
        auto list = nlohmann::json::array();
        for (const auto &item : node)
            list.push_back(yamlToJson(item));
        return list;
    }
    if (node.IsMap()) {
        auto object = nlohmann::json::object();
        for (const auto &entry : node)
            object[entry.first.Scalar()] = yamlToJson(entry.second);
        return object;
    }
    return nullptr;
}

} // namespace foxtailring
