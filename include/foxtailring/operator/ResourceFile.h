#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/configuration/StoredResource.h"

#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief Reads resources from YAML (one or more documents) or JSON.
class ResourceFile
{
public:
    /// \brief Reads and validates every resource of a file. The error lists all problems, each with
    /// file and line; NotFound when the file cannot be read.
    static Result<std::vector<StoredResource>> read(const std::string &path);
    static Result<std::vector<StoredResource>> parse(std::string_view text,
                                                     const std::string &name);
};

} // namespace foxtailring
