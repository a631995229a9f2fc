#pragma once

#include "foxtailring/base/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief A resource as it is stored, with who wrote it.
struct StoredResource
{
    std::string kind;
    std::string name;
    std::int64_t revision = 0; ///< platform revision of the last change; 0 before it is stored
    std::string writer;        ///< operator who made the last change
    std::string changeId;      ///< unique for each change; tells whether a write took effect
    std::string spec;          ///< JSON object

    /// \brief JSON with kind, name, writer, changeId and spec.
    std::string toJson() const;
    /// \brief Malformed when \a json is not such an object.
    static Result<StoredResource> fromJson(std::string_view json, std::int64_t revision);

    /// \brief Checks kind, name and spec. The error lists every fault.
    Result<Done> validate() const;
};

} // namespace foxtailring
