#include "foxtailring/transport/StatusTitle.h"

namespace foxtailring {

std::string_view statusTitle(int status)
{
    switch (status) {
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 422:
        return "Unprocessable Content";
    case 429:
        return "Too Many Requests";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Internal Server Error";
    }
}

} // namespace foxtailring
