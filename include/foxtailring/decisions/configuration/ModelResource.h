#pragma once

#include "foxtailring/base/Result.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief Resource of kind `Model`: a model and the versions of it that engines may load.
struct ModelResource
{
    std::string name;
    std::vector<std::string> versions; ///< newest first; empty: any version

    /// \brief Parses the `spec` object. InvalidArgument lists every invalid field with its value
    /// and the allowed values.
    static Result<ModelResource> parse(const std::string &name, const nlohmann::json &spec);
};

} // namespace foxtailring
