#include "foxtailring/base/AsciiCase.h"
#include "foxtailring/transport/HttpRequest.h"
#include "foxtailring/transport/HttpResponse.h"

#include <algorithm>
#include <span>

namespace foxtailring {

namespace {

std::string_view findHeader(std::span<const HttpHeader> headers, std::string_view name)
{
    const auto found =
        std::find_if(headers.begin(), headers.end(), [name](const HttpHeader &header) {
            return equalIgnoringCase(header.name, name);
        });
    return found == headers.end() ? std::string_view() : std::string_view(found->value);
}

} // namespace

std::string_view HttpRequest::header(std::string_view name) const
{
    return findHeader(headers, name);
}

std::string_view HttpResponse::header(std::string_view name) const
{
    return findHeader(headers, name);
}

} // namespace foxtailring
