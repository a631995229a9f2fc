#include "RequestTime.h"

#include <charconv>

namespace foxtailring {

std::optional<std::chrono::seconds> preferredWait(std::string_view prefer)
{
    constexpr std::string_view name = "wait=";
    const auto at = prefer.find(name);
    if (at == std::string_view::npos)
        return std::nullopt;
    const std::string_view digits = prefer.substr(at + name.size());
    std::uint32_t seconds = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (parsed.ec != std::errc() || seconds == 0)
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

} // namespace foxtailring
