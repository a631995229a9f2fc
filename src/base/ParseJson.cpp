#include "foxtailring/base/ParseJson.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>

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

// The largest double, 1.7976931348623157e+308, with as many digits as identify it.
constexpr std::string_view largestNumber = "1.7976931348623157e308";
constexpr std::string_view numberCharacters = "0123456789+-.eE";
constexpr std::string_view digits = "0123456789";

// End of the string that begins at \a start, or of \a text.
std::size_t stringEnd(std::string_view text, std::size_t start)
{
    std::size_t at = start + 1;
    while (at < text.size() && text[at] != '"')
        at += text[at] == '\\' ? 2 : 1;
    return std::min(at + 1, text.size());
}

// Keeps two digits of each run of them, which decide whether the number is well-formed.
std::string shortened(std::string_view number)
{
    std::string out;
    std::size_t runLength = 0;
    for (const char c : number) {
        runLength = digits.find(c) == std::string_view::npos ? 0 : runLength + 1;
        if (runLength <= 2)
            out += c;
    }
    return out;
}

// The library accepts any well-formed number but those beyond the range of a double.
bool isBeyondDouble(std::string_view number)
{
    return !json::accept(number) && json::accept(shortened(number));
}

std::string withBoundedNumbers(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    for (std::size_t start = 0; start < text.size();) {
        const bool isNumber = text[start] == '-' || digits.find(text[start]) != digits.npos;
        std::size_t end = start + 1;
        if (text[start] == '"')
            end = stringEnd(text, start);
        else if (isNumber)
            end = std::min(text.find_first_not_of(numberCharacters, start), text.size());
        const std::string_view token = text.substr(start, end - start);
        if (isNumber && isBeyondDouble(token)) {
            out += token.front() == '-' ? "-" : "";
            out += largestNumber;
        } else {
            out += token;
        }
        start = end;
    }
    return out;
}

} // namespace

json parseJson(std::string_view text)
{
    if (isTooDeep(text))
        return json(json::value_t::discarded);
    return json::parse(text, nullptr, false);
}

// The library stops at such a number, so the text is parsed again without it.
json parseJsonBoundingNumbers(std::string_view text)
{
    json document = parseJson(text);
    return document.is_discarded() ? parseJson(withBoundedNumbers(text)) : document;
}

} // namespace foxtailring
