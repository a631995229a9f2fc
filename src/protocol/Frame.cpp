#include "foxtailring/protocol/Frame.h"

namespace foxtailring {

std::string encodeFrame(MessageType type, std::string_view body)
{
    const auto length = static_cast<std::uint32_t>(body.size());
    std::string out;
    out.reserve(body.size() + 5);
    for (int shift = 24; shift >= 0; shift -= 8)
        out += static_cast<char>(length >> shift & 0xff);
    out += static_cast<char>(type);
    out += body;
    return out;
}

} // namespace foxtailring
