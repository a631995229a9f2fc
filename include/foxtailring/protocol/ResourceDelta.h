#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace foxtailring {

/// \brief One changed or deleted resource.
struct ResourceDelta
{
    std::string kind;
    std::string name;
    std::int64_t revision = 0; ///< revision of the last change
    std::string json;          ///< the resource as JSON; empty when deleted
    bool deleted = false;

    MSGPACK_DEFINE_MAP(kind, name, revision, json, deleted)
};

} // namespace foxtailring
