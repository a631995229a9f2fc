#include "HeaderFilter.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

namespace foxtailring {

namespace {

// RFC 9110 section 7.6.1, and what frames the body on each connection.
constexpr std::array<std::string_view, 11> connectionHeaders {"connection",
                                                              "keep-alive",
                                                              "proxy-authenticate",
                                                              "proxy-authorization",
                                                              "proxy-connection",
                                                              "te",
                                                              "trailer",
                                                              "transfer-encoding",
                                                              "upgrade",
                                                              "expect",
                                                              "content-length"};
constexpr std::array<std::string_view, 5> entryHeaders {"host", "authorization", "idempotency-key",
                                                        "traceparent", "prefer"};

std::string lowerCase(std::string_view text)
{
    std::string out(text);
    for (char &c : out) {
        if (c >= 'A' && c <= 'Z')
            c = static_cast<char>(c - 'A' + 'a');
    }
    return out;
}

template <typename List>
bool contains(const List &list, std::string_view name)
{
    return std::find(list.begin(), list.end(), name) != list.end();
}

} // namespace

std::vector<HttpHeader> HeaderFilter::request(std::span<const HttpHeader> headers)
{
    std::vector<HttpHeader> out;
    for (const HttpHeader &header : headers) {
        const std::string name = lowerCase(header.name);
        if (!contains(connectionHeaders, name) && !contains(entryHeaders, name))
            out.push_back(header);
    }
    return out;
}

std::vector<HttpHeader> HeaderFilter::response(std::span<const HttpHeader> headers)
{
    std::vector<HttpHeader> out;
    for (const HttpHeader &header : headers) {
        if (!contains(connectionHeaders, lowerCase(header.name)))
            out.push_back(header);
    }
    return out;
}

} // namespace foxtailring
