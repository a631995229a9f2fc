#pragma once

#include "foxtailring/base/Result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief Path segments after `/operator/v1/` and the number in the query, if any.
struct OperatorTarget
{
    std::vector<std::string> segments;
    std::optional<std::int64_t> from;
    std::optional<std::int64_t> revision;
    bool isLocalOnly = false; ///< `scope=local`: do not ask other entries

    static Result<OperatorTarget> parse(std::string_view target);
};

} // namespace foxtailring
