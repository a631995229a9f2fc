#pragma once

#include <string_view>

namespace foxtailring::sidecar_paths {

// Paths of the streams between entry and sidecar (design section 4).
constexpr std::string_view start = "/generation/start";
constexpr std::string_view attach = "/generation/attach";
constexpr std::string_view find = "/generation/find";
constexpr std::string_view record = "/generation/record";
constexpr std::string_view call = "/call";
constexpr std::string_view reports = "/node/reports";
constexpr std::string_view config = "/node/config";

} // namespace foxtailring::sidecar_paths
