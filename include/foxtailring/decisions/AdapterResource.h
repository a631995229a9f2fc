#pragma once

#include "foxtailring/base/Result.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace foxtailring {

/// \brief Resource of kind `Adapter`: an adapter of one model; callers name it in place of a model.
struct AdapterResource
{
    std::string name;
    std::string model; ///< name of a `Model` resource

    /// \brief Reads the `spec` object. The error lists every fault by field, value and allowed
    /// values.
    static Result<AdapterResource> parse(const std::string &name, const nlohmann::json &spec);
};

} // namespace foxtailring
