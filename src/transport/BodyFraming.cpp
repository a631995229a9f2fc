#include "BodyFraming.h"

#include "foxtailring/base/AsciiCase.h"
#include "foxtailring/base/Trimmed.h"

#include <algorithm>
#include <string_view>
#include <vector>

namespace foxtailring {

namespace http = boost::beast::http;

namespace {

// Optional whitespace of a header field (RFC 9110).
constexpr std::string_view whitespace = " \t";

bool isTokenCharacter(char c)
{
    const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool isDigit = c >= '0' && c <= '9';
    return isLetter || isDigit
        || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

// Codings of all Transfer-Encoding fields, in order.
std::vector<std::string_view> transferCodings(const http::fields &fields)
{
    std::vector<std::string_view> codings;
    const auto range = fields.equal_range(http::field::transfer_encoding);
    for (auto field = range.first; field != range.second; ++field) {
        std::string_view rest(field->value().data(), field->value().size());
        while (true) {
            const auto comma = rest.find(',');
            codings.push_back(trimmed(rest.substr(0, comma), whitespace));
            if (comma == std::string_view::npos)
                break;
            rest.remove_prefix(comma + 1);
        }
    }
    return codings;
}

} // namespace

// Beast ignores codings that it does not know and takes the body for empty: its bytes would be read
// as the next message. What another program could read in another way is malformed.
BodyFraming bodyFraming(const http::fields &fields, unsigned version)
{
    if (fields.find(http::field::transfer_encoding) == fields.end())
        return BodyFraming::Valid;
    if (version < 11 || fields.find(http::field::content_length) != fields.end())
        return BodyFraming::Malformed;
    const auto codings = transferCodings(fields);
    const auto isChunked = [](std::string_view coding) {
        return equalIgnoringCase(coding, "chunked");
    };
    const bool isReadable = std::all_of(codings.begin(), codings.end(), isToken)
        && std::none_of(codings.begin(), codings.end() - 1, isChunked);
    if (!isReadable)
        return BodyFraming::Malformed;
    const bool isOnlyChunked = codings.size() == 1 && isChunked(codings.front());
    return isOnlyChunked ? BodyFraming::Valid : BodyFraming::UnknownCoding;
}

} // namespace foxtailring
