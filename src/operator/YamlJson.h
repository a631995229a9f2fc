#pragma once

#include <nlohmann/json_fwd.hpp>

namespace YAML {
class Node;
}

namespace foxtailring {

/// \brief JSON value of a YAML node; plain scalars become numbers, booleans or null where they fit.
nlohmann::json yamlToJson(const YAML::Node &node);

} // namespace foxtailring
