#include "OperatorTarget.h"

#include <charconv>

namespace foxtailring {

namespace {

constexpr std::string_view pathPrefix = "/operator/v1/";

std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const auto end = text.find(separator);
        parts.emplace_back(text.substr(0, end));
        if (end == std::string_view::npos)
            break;
        text.remove_prefix(end + 1);
    }
    return parts;
}

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t value = 0;
    const auto end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || stop != end || value < 0)
        return std::nullopt;
    return value;
}

} // namespace

Result<OperatorTarget> OperatorTarget::parse(std::string_view target)
{
    if (!target.starts_with(pathPrefix))
        return Error {ErrorCode::NotFound, "path \"" + std::string(target) + "\" does not exist"};
    target.remove_prefix(pathPrefix.size());
    const auto queryStart = target.find('?');
    OperatorTarget out;
    out.segments = split(target.substr(0, queryStart), '/');
    if (queryStart == std::string_view::npos)
        return out;
    for (const auto &parameter : split(target.substr(queryStart + 1), '&')) {
        const auto equals = parameter.find('=');
        const std::string key = parameter.substr(0, equals);
        const std::string value = equals == std::string::npos ? "" : parameter.substr(equals + 1);
        if (key == "scope" && value == "local") {
            out.isLocalOnly = true;
            continue;
        }
        const auto parsed = parseNumber(value);
        if (!parsed || (key != "from" && key != "revision"))
            return Error {ErrorCode::InvalidArgument,
                          "query \"" + parameter
                              + "\"; allowed: from=REVISION, revision=REVISION, scope=local"};
        (key == "from" ? out.from : out.revision) = parsed;
    }
    return out;
}

} // namespace foxtailring
