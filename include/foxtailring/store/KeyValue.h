#pragma once

#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief One key of the platform's key-value service.
struct KeyValue
{
    std::string key;
    std::string value;
    std::int64_t modRevision = 0; ///< store revision of the last change; 0: the key does not exist
};

} // namespace foxtailring
