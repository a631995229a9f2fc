#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/sidecar/CompletionChunk.h"

#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief Reads the server-sent events of an OpenAI-compatible completion stream.
class CompletionReader
{
public:
    /// \brief Takes the next bytes and returns the chunks they complete, in order.
    ///
    /// Malformed: an event is not JSON or has text without token ids. EngineFailed: the engine
    /// reports an error in the stream.
    Result<std::vector<CompletionChunk>> feed(std::string_view bytes);

private:
    Result<Done> takeLine(std::string_view line, std::vector<CompletionChunk> &chunks);

    std::string m_pending; ///< the line that is not complete
    std::string m_data;    ///< data of the event that is not complete
};

} // namespace foxtailring
