#pragma once

#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string_view>

namespace foxtailring::fakes {

/// \brief Throws std::invalid_argument when \a faults has a member that is not \a known, since a
/// misspelt fault would leave a test without the fault that it is about.
void checkFaultMembers(const nlohmann::json &faults, std::initializer_list<std::string_view> known);

} // namespace foxtailring::fakes
