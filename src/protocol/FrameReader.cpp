#include "foxtailring/protocol/FrameReader.h"

namespace foxtailring {

namespace {

constexpr std::size_t headerBytes = 5;

std::size_t bodyLength(std::string_view header)
{
    std::size_t length = 0;
    for (int i = 0; i < 4; ++i)
        length = length << 8 | static_cast<unsigned char>(header[i]);
    return length;
}

bool isKnownType(char type)
{
    const auto number = static_cast<std::uint8_t>(type);
    return number >= static_cast<std::uint8_t>(MessageType::StartAttempt)
        && number <= static_cast<std::uint8_t>(MessageType::ConfigAck);
}

} // namespace

Result<std::vector<Frame>> FrameReader::feed(std::string_view bytes)
{
    m_pending += bytes;
    std::vector<Frame> frames;
    std::string_view rest = m_pending;
    while (rest.size() >= headerBytes) {
        const std::size_t length = bodyLength(rest);
        if (length > maxFrameBodyBytes)
            return Error {ErrorCode::Malformed,
                          "frame of " + std::to_string(length) + " bytes exceeds the limit"};
        if (!isKnownType(rest[4]))
            return Error {ErrorCode::Malformed, "unknown message type"};
        if (rest.size() < headerBytes + length)
            break;
        frames.push_back(Frame {static_cast<MessageType>(rest[4]),
                                std::string(rest.substr(headerBytes, length))});
        rest.remove_prefix(headerBytes + length);
    }
    m_pending.erase(0, m_pending.size() - rest.size());
    return frames;
}

} // namespace foxtailring
