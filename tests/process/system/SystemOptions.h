#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace foxtailring::harness {

/// \brief Size and settings of a SystemFixture.
struct SystemOptions
{
    std::size_t engines = 3;
    std::size_t services = 0; ///< number of servers of the plain service
    std::size_t entries = 2;
    double tokenMs = 4; ///< time per token
    std::vector<std::string> engineFlags = {};
    std::vector<std::string> serviceFlags = {};
    std::vector<std::string> platformFlags = {};
    std::string entrySettings = {};   ///< additional YAML lines
    std::string sidecarSettings = {}; ///< additional YAML lines
};

} // namespace foxtailring::harness
