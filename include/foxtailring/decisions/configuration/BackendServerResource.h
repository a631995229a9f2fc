#pragma once

#include "foxtailring/base/Result.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace foxtailring {

/// \brief Resource of kind `BackendServer`: operator settings for one backend server.
struct BackendServerResource
{
    std::string name;   ///< node id of the server's sidecar
    bool drain = false; ///< takes no new work; running work finishes

    /// \brief Parses the `spec` object. InvalidArgument lists every invalid field with its value
    /// and the allowed values.
    static Result<BackendServerResource> parse(const std::string &name, const nlohmann::json &spec);
};

} // namespace foxtailring
