#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/NonIdempotentRule.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

enum class ServiceType : std::uint8_t {
    Generation, ///< model engines
    Plain,      ///< HTTP services that are passed through
};

/// \brief Resource of kind `Service`: a group of backend servers and how it is served.
struct ServiceResource
{
    std::string name;
    ServiceType type = ServiceType::Generation;
    std::vector<std::string> models; ///< names of `Model` resources; generation services only
    double latencyWeight = 0.5;      ///< weight of a second of resume latency, 0 to 1
    double resourceWeight = 0.5;     ///< weight of extra compute and cross-region bytes, 0 to 1
    bool checksFencing = false;      ///< its backend servers refuse an old fencing token
    std::vector<NonIdempotentRule> nonIdempotent;

    /// \brief True when a call must not be sent more than once.
    bool isNonIdempotent(std::string_view method, std::string_view path) const;

    /// \brief Reads the `spec` object. The error lists every fault by field, value and allowed
    /// values.
    static Result<ServiceResource> parse(const std::string &name, const nlohmann::json &spec);
};

} // namespace foxtailring
