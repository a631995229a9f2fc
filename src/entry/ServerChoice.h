#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/placement/RouteChoice.h"
#include "foxtailring/decisions/placement/RouteRequest.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace foxtailring {

struct EntryParts;
struct GenerationJob;

/// \brief Asks the router for servers on behalf of one entry.
struct ServerChoice
{
    /// \param excluded addresses of sidecars that must not be chosen
    static Result<RouteChoice> forNew(const EntryParts &parts, const GenerationJob &job,
                                      const std::set<std::string> &excluded);
    /// \param prefixTokens tokens already delivered
    static Result<RouteChoice> forResume(const EntryParts &parts, const GenerationJob &job,
                                         const std::set<std::string> &excluded,
                                         std::uint64_t prefixTokens);
    static Result<RouteChoice> forCall(const EntryParts &parts, std::string_view service,
                                       const std::set<std::string> &excluded);
};

} // namespace foxtailring
