#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/configuration/NonIdempotentRule.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

enum class ServiceType : std::uint8_t {
    Generation, ///< served by model engines
    Plain,      ///< HTTP service; calls are forwarded unchanged
};

/// \brief Resource of kind `Service`: a group of backend servers and how it is served.
struct ServiceResource
{
    std::string name;
    ServiceType type = ServiceType::Generation;
    std::vector<std::string> models; ///< names of `Model` resources; generation services only
    double latencyWeight = 0.5;      ///< weight of resume latency in the routing cost, 0 to 1
    double resourceWeight = 0.5;     ///< weight of extra compute and cross-region bytes, 0 to 1
    bool checksFencing = false;      ///< its backend servers reject stale fencing tokens
    std::vector<NonIdempotentRule> nonIdempotent;

    /// \brief True when a call may take effect twice if it is sent twice, so it must not be
    /// retried.
    bool isNonIdempotent(std::string_view method, std::string_view path) const;

    /// \brief Parses the `spec` object. InvalidArgument lists every invalid field with its value
    /// and the allowed values.
    static Result<ServiceResource> parse(const std::string &name, const nlohmann::json &spec);
};

} // namespace foxtailring
