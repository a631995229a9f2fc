#include "foxtailring/protocol/Accepted.h"
#include "foxtailring/protocol/Ack.h"
#include "foxtailring/protocol/Attach.h"
#include "foxtailring/protocol/Call.h"
#include "foxtailring/protocol/CallResult.h"
#include "foxtailring/protocol/Cancel.h"
#include "foxtailring/protocol/ConfigAck.h"
#include "foxtailring/protocol/ConfigUpdate.h"
#include "foxtailring/protocol/Failed.h"
#include "foxtailring/protocol/FindGeneration.h"
#include "foxtailring/protocol/Finished.h"
#include "foxtailring/protocol/FrameReader.h"
#include "foxtailring/protocol/GenerationRecord.h"
#include "foxtailring/protocol/LoadReport.h"
#include "foxtailring/protocol/Progress.h"
#include "foxtailring/protocol/Refused.h"
#include "foxtailring/protocol/StartAttempt.h"
#include "foxtailring/protocol/Tokens.h"
#include "foxtailring/protocol/WatchReports.h"

#include "FuzzInput.h"

#include <algorithm>
#include <vector>

using namespace foxtailring;

namespace {

struct ReadFrames
{
    std::vector<Frame> frames;
    bool isMalformed = false;
};

ReadFrames readIn(std::string_view bytes, std::size_t pieceSize)
{
    FrameReader reader;
    ReadFrames read;
    for (; !bytes.empty() && !read.isMalformed;
         bytes.remove_prefix(std::min(pieceSize, bytes.size()))) {
        auto completed = reader.feed(bytes.substr(0, pieceSize));
        read.isMalformed = !completed;
        if (completed)
            std::move(completed.value().begin(), completed.value().end(),
                      std::back_inserter(read.frames));
    }
    return read;
}

// A decoded message must be the same after it was sent on.
template <typename Message>
void decodeAs(const Frame &frame)
{
    const auto message = decodeMessage<Message>(frame);
    if (!message)
        return;
    const std::string encoded = encodeMessage(message.value());
    const ReadFrames again = readIn(encoded, encoded.size());
    require(!again.isMalformed && again.frames.size() == 1);
    const auto decoded = decodeMessage<Message>(again.frames.front());
    require(decoded && encodeMessage(decoded.value()) == encoded);
}

template <typename... Messages>
void decodeAsEach(const Frame &frame)
{
    (decodeAs<Messages>(frame), ...);
}

} // namespace

// Frames and messages of other processes of the system. Frames are the same in whatever pieces they
// arrive; those before a malformed one may be lost with it.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes = FuzzInput(data, size).rest();
    const ReadFrames whole = readIn(bytes, bytes.size() + 1);
    const ReadFrames pieces = readIn(bytes, 1);
    require(whole.isMalformed == pieces.isMalformed);
    require(whole.isMalformed || whole.frames.size() == pieces.frames.size());
    for (std::size_t i = 0; i < whole.frames.size(); ++i)
        require(whole.frames[i].type == pieces.frames[i].type
                && whole.frames[i].body == pieces.frames[i].body);
    for (const Frame &frame : pieces.frames)
        decodeAsEach<StartAttempt, Attach, Ack, Cancel, Accepted, Progress, Tokens, Finished,
                     Refused, Failed, FindGeneration, GenerationRecord, Call, CallResult,
                     WatchReports, LoadReport, ConfigUpdate, ConfigAck>(frame);
    return 0;
}
