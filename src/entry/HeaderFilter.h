#pragma once

#include "foxtailring/protocol/HttpHeader.h"

#include <span>
#include <vector>

namespace foxtailring {

/// \brief Headers that are passed on between caller and backend server.
struct HeaderFilter
{
    /// \brief Without headers of the connection, the caller's key and what the entry sets itself.
    static std::vector<HttpHeader> request(std::span<const HttpHeader> headers);
    /// \brief Without headers of the connection.
    static std::vector<HttpHeader> response(std::span<const HttpHeader> headers);
};

} // namespace foxtailring
