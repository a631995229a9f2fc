#pragma once

#include "foxtailring/base/Result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief Parsed target of a request: path segments after `/operator/v1/` and query parameters.
struct OperatorTarget
{
    std::vector<std::string> segments;
    std::optional<std::int64_t> from;
    std::optional<std::int64_t> revision;
    bool isLocalOnly = false; ///< `scope=local`: report without asking other entries

    static Result<OperatorTarget> parse(std::string_view target);
};

} // namespace foxtailring
