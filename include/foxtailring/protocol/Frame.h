#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/protocol/MessageType.h"

#include <cstddef>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Longest body of a frame in bytes; a longer one closes the stream.
constexpr std::size_t maxFrameBodyBytes = 16 * 1024 * 1024;

/// \brief One message as it travels: 4-byte big-endian length of the body, type byte, msgpack body.
struct Frame
{
    MessageType type = MessageType::StartAttempt;
    std::string body;
};

/// \brief Bytes of a frame, header included.
std::string encodeFrame(MessageType type, std::string_view body);

/// \brief Bytes of the frame that carries \a message.
template <typename Message>
std::string encodeMessage(const Message &message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return encodeFrame(Message::type, std::string_view(buffer.data(), buffer.size()));
}

/// \brief The message in \a frame. Malformed when the type differs or the body does not fit.
template <typename Message>
Result<Message> decodeMessage(const Frame &frame)
{
    if (frame.type != Message::type)
        return Error {ErrorCode::Malformed, "unexpected message type"};
    try {
        const auto handle = msgpack::unpack(frame.body.data(), frame.body.size());
        return handle.get().template as<Message>();
    } catch (const std::exception &exception) {
        return Error {ErrorCode::Malformed, std::string("message body: ") + exception.what()};
    }
}

} // namespace foxtailring
