#pragma once

#include "foxtailring/base/Result.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace foxtailring {

/// \brief Resource of kind `BackendServer`: what operators ask of one backend server.
struct BackendServerResource
{
    std::string name;   ///< node id of the server's sidecar
    bool drain = false; ///< takes no new work; running work finishes

    /// \brief Reads the `spec` object. The error lists every fault by field, value and allowed
    /// values.
    static Result<BackendServerResource> parse(const std::string &name, const nlohmann::json &spec);
};

} // namespace foxtailring
