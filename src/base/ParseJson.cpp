#include "foxtailring/base/ParseJson.h"

#include <nlohmann/json.hpp>

namespace foxtailring {

namespace {

using nlohmann::json;

// The documents that the system reads have at most six levels. Copying, comparing and writing a
// value takes stack for each level: a copy of 500,000 levels ended the process. Such a value took
// 38 MB.
constexpr int maxDepth = 64;

// Counts brackets outside strings, which is exact as far as the text is JSON; the parser stops
// where it is not. A parser callback that watches the depth takes three quarters of the parser's
// time.
bool isTooDeep(std::string_view text)
{
    int depth = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (c == '"')
            isInString = !isInString;
        else if (isInString && c == '\\')
            ++i;
        else if (!isInString && (c == '[' || c == '{') && ++depth > maxDepth)
            return true;
        else if (!isInString && (c == ']' || c == '}'))
            --depth;
    }
    return false;
}

} // namespace

json parseJson(std::string_view text)
{
    if (isTooDeep(text))
        return json(json::value_t::discarded);
    return json::parse(text, nullptr, false);
}

} // namespace foxtailring
