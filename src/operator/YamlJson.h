#pragma once

#include <nlohmann/json_fwd.hpp>

namespace YAML {
class Node;
}

namespace foxtailring {

/// \brief Converts a YAML node to JSON. Plain scalars become numbers or booleans where possible,
/// quoted ones stay strings; an empty node becomes null.
nlohmann::json yamlToJson(const YAML::Node &node);

} // namespace foxtailring
