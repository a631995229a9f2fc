#pragma once

#include "foxtailring/base/Result.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace foxtailring {

/// \brief Resource of kind `Adapter`: an adapter of one model. Callers may request it by name in
/// place of a model.
struct AdapterResource
{
    std::string name;
    std::string model; ///< name of a `Model` resource

    /// \brief Parses the `spec` object. InvalidArgument lists every invalid field with its value
    /// and the allowed values.
    static Result<AdapterResource> parse(const std::string &name, const nlohmann::json &spec);
};

} // namespace foxtailring
