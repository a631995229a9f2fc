#pragma once

#include "foxtailring/base/Result.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief Resource of kind `Model`: a model and the versions of it that engines may hold.
struct ModelResource
{
    std::string name;
    std::vector<std::string> versions; ///< newest first; empty: whatever the engine holds

    /// \brief Reads the `spec` object. The error lists every fault by field, value and allowed
    /// values.
    static Result<ModelResource> parse(const std::string &name, const nlohmann::json &spec);
};

} // namespace foxtailring
