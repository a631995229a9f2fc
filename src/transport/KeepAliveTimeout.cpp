#include "KeepAliveTimeout.h"

#include "foxtailring/base/AsciiCase.h"
#include "foxtailring/base/Trimmed.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <system_error>

namespace foxtailring {

namespace {

constexpr std::chrono::seconds maxTimeout = std::chrono::hours(24);

constexpr std::string_view trimmable = " \t\"";

std::chrono::seconds parseTimeout(std::string_view digits)
{
    std::int64_t count = 0;
    const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), count);
    if (result.ec == std::errc::result_out_of_range)
        return digits.starts_with('-') ? std::chrono::seconds(0) : maxTimeout;
    return std::chrono::seconds(std::clamp<std::int64_t>(count, 0, maxTimeout.count()));
}

} // namespace

std::optional<std::chrono::seconds> keepAliveTimeout(std::string_view header)
{
    for (std::size_t start = 0; start <= header.size();) {
        const std::size_t end = std::min(header.find(',', start), header.size());
        const std::string_view parameter = header.substr(start, end - start);
        const std::size_t equals = std::min(parameter.find('='), parameter.size());
        if (equalIgnoringCase(trimmed(parameter.substr(0, equals), trimmable), "timeout"))
            return parseTimeout(
                trimmed(parameter.substr(std::min(equals + 1, parameter.size())), trimmable));
        start = end + 1;
    }
    return std::nullopt;
}

} // namespace foxtailring
