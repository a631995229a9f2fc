#pragma once

#include "foxtailring/base/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief A resource in its stored form, with the metadata of its last change.
struct StoredResource
{
    std::string kind;
    std::string name;
    std::int64_t revision = 0; ///< store revision of the last change; 0: not stored yet
    std::string writer;        ///< operator who made the last change
    std::string changeId;      ///< unique per change; shows whether a write took effect
    std::string spec;          ///< JSON object
    std::int64_t epoch = 0;    ///< of the store, in which the revision is valid

    /// \brief Serializes kind, name, writer, changeId and spec.
    std::string toJson() const;
    /// \brief Parses the output of toJson(). Malformed when \a json is not an object with a string
    /// kind, a string name and a spec.
    static Result<StoredResource> fromJson(std::string_view json, std::int64_t revision);

    /// \brief Checks kind, name and spec. InvalidArgument describes the invalid name or kind, or
    /// every invalid field of the spec.
    Result<Done> validate() const;
};

} // namespace foxtailring
