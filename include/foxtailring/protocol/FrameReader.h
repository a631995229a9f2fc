#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/protocol/Frame.h"

#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief Cuts a stream of bytes into frames.
class FrameReader
{
public:
    /// \brief Takes the next bytes and returns the frames they complete, in order.
    ///
    /// Malformed when a length is above maxFrameBodyBytes or a type is not known; the stream cannot
    /// be read any further then.
    Result<std::vector<Frame>> feed(std::string_view bytes);

private:
    std::string m_pending;
};

} // namespace foxtailring
