#include "foxtailring/store/StoreRevision.h"

#include <charconv>

namespace foxtailring {

namespace {

template <typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number number = 0;
    const auto end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || stop != end)
        return std::nullopt;
    return number;
}

} // namespace

std::string StoreRevision::toString() const
{
    return std::to_string(static_cast<std::uint64_t>(epoch)) + '.' + std::to_string(number);
}

std::optional<StoreRevision> StoreRevision::parse(std::string_view text)
{
    const auto dot = text.find('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    const auto epoch = parseNumber<std::uint64_t>(text.substr(0, dot));
    const auto number = parseNumber<std::int64_t>(text.substr(dot + 1));
    if (!epoch || *epoch == 0 || !number || *number < 0)
        return std::nullopt;
    return StoreRevision {static_cast<std::int64_t>(*epoch), *number};
}

} // namespace foxtailring
