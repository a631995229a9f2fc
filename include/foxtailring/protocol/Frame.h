#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/protocol/MessageType.h"

#include <cstddef>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Maximum body of a frame; a longer one closes the stream.
constexpr std::size_t maxFrameBodyBytes = 16 * 1024 * 1024;
/// \brief Maximum nesting of arrays and maps in a body. Messages use three levels; newer ones may
/// have members with more that are skipped.
constexpr std::size_t maxMessageDepth = 8;

/// \brief One message on the wire: 4-byte big-endian body length, type byte, msgpack body.
struct Frame
{
    MessageType type = MessageType::StartAttempt;
    std::string body;
};

/// \brief Encodes a frame with its header.
std::string encodeFrame(MessageType type, std::string_view body);

/// \brief Encodes \a message as a frame.
template <typename Message>
std::string encodeMessage(const Message &message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return encodeFrame(Message::type, std::string_view(buffer.data(), buffer.size()));
}

/// \brief Malformed when \a frame is of another type or its body cannot be decoded.
template <typename Message>
Result<Message> decodeMessage(const Frame &frame)
{
    if (frame.type != Message::type)
        return Error {ErrorCode::Malformed, "unexpected message type"};
    try {
        // The decoder reserves what an array or map claims to hold. Each element takes a byte of
        // the body at least, and only one array or map of each level is incomplete at a time.
        const std::size_t size = frame.body.size();
        const msgpack::unpack_limit limit(size, size, size, size, size, maxMessageDepth);
        const auto handle = msgpack::unpack(frame.body.data(), size, nullptr, nullptr, limit);
        return handle.get().template as<Message>();
    } catch (const std::exception &exception) {
        return Error {ErrorCode::Malformed, std::string("message body: ") + exception.what()};
    }
}

} // namespace foxtailring
