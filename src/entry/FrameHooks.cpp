#include "FrameHooks.h"

#include "foxtailring/protocol/FrameReader.h"
#include "foxtailring/transport/Http2Stream.h"

namespace foxtailring {

void FrameHooks::set(const std::shared_ptr<Http2Stream> &stream, FrameHooks hooks)
{
    const auto reader = std::make_shared<FrameReader>();
    const std::weak_ptr<Http2Stream> weak = stream;
    stream->onData([reader, weak, frame = std::move(hooks.frame)](std::string_view bytes) {
        auto frames = reader->feed(bytes);
        if (!frames) {
            if (const auto malformed = weak.lock())
                malformed->reset();
            return;
        }
        for (Frame &one : frames.value())
            frame(std::move(one));
    });
    stream->onClosed([closed = std::move(hooks.closed)](const Result<Done> &result) {
        closed(result ? Error {ErrorCode::Closed, "the sidecar ended the stream"} : result.error());
    });
}

} // namespace foxtailring
