#include "RequestRefusal.h"

#include "HttpWire.h"

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>

#include <string>

namespace foxtailring {

namespace http = boost::beast::http;

namespace {

HttpResponse lateResponse(const std::string &what, std::chrono::milliseconds limit)
{
    return problemResponse(408, "Request Timeout", what + std::to_string(limit.count()) + " ms");
}

} // namespace

HttpResponse unreadableRequestResponse(ErrorStatus status, const HttpLimits &limits)
{
    if (status == http::error::body_limit || status == http::error::buffer_overflow)
        return problemResponse(413, "Content Too Large",
                               "the body is above " + std::to_string(limits.maxBodyBytes)
                                   + " bytes");
    if (status == http::error::header_limit)
        return problemResponse(431, "Request Header Fields Too Large",
                               "the head is above " + std::to_string(limits.maxHeaderBytes)
                                   + " bytes");
    if (status == net::error::operation_not_supported)
        return problemResponse(501, "Not Implemented", "the transfer coding is not known");
    return problemResponse(400, "Bad Request", status.message());
}

HttpResponse lateHeadResponse(std::chrono::milliseconds limit)
{
    return lateResponse("the head did not arrive within ", limit);
}

HttpResponse lateBodyResponse(std::chrono::milliseconds limit)
{
    return lateResponse("the body did not arrive within ", limit);
}

HttpResponse stalledBodyResponse(std::chrono::milliseconds limit)
{
    return lateResponse("no part of the body arrived within ", limit);
}

// Another process takes the request at once.
HttpResponse unavailableResponse()
{
    HttpResponse response = problemResponse(
        503, "Service Unavailable", "the request arrived when the process was about to end");
    response.headers.push_back({"Retry-After", "0"});
    return response;
}

} // namespace foxtailring
