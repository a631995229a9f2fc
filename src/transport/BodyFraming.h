#pragma once

#include <boost/beast/http/fields.hpp>

#include <cstdint>

namespace foxtailring {

/// \brief Whether the head of a message says beyond doubt where its body ends.
enum class BodyFraming : std::uint8_t {
    Valid,
    Malformed,     ///< ambiguous, or not readable
    UnknownCoding, ///< well-formed, with a transfer coding other than chunked
};

/// \param version of the message, 10 or 11
BodyFraming bodyFraming(const boost::beast::http::fields &fields, unsigned version);

} // namespace foxtailring
