#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace foxtailring::fakes {

/// \brief Body of POST /v1/completions.
struct CompletionRequest
{
    std::string prompt;
    std::string model;
    std::string adapter;
    std::string version;
    std::size_t maxTokens = 16; ///< tokens of the whole answer, resumeIds included
    bool stream = false;
    int priority = 0;
    std::int64_t seed = 0;
    std::vector<std::int64_t> resumeIds;

    /// \brief Throws nlohmann::json::exception when a member is missing or of the wrong type.
    static CompletionRequest parse(const nlohmann::json &body);
};

} // namespace foxtailring::fakes
