#pragma once

#include "foxtailring/base/Result.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief Resource of kind `ClientAccount`: a caller's key, priority, limits and permitted
/// services.
struct ClientAccountResource
{
    std::string name;
    std::string keySha256;             ///< SHA-256 of the caller's key as 64 lower-case hex digits
    std::uint32_t priority = 5;        ///< 0 is the highest, 9 the lowest
    std::uint32_t maxConcurrent = 64;  ///< requests in flight, summed over all entries
    double requestsPerSecond = 100;    ///< summed over all entries
    std::vector<std::string> services; ///< names of `Service` resources; empty: all

    bool mayUse(std::string_view service) const;

    /// \brief Parses the `spec` object. InvalidArgument lists every invalid field with its value
    /// and the allowed values.
    static Result<ClientAccountResource> parse(const std::string &name, const nlohmann::json &spec);
};

} // namespace foxtailring
