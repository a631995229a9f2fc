#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/protocol/Frame.h"

#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief Splits a byte stream into frames.
class FrameReader
{
public:
    /// \brief Returns the frames that \a bytes complete, in order.
    ///
    /// Malformed when a body exceeds maxFrameBodyBytes or a type is unknown; the stream cannot be
    /// read any further.
    Result<std::vector<Frame>> feed(std::string_view bytes);

private:
    std::string m_pending;
};

} // namespace foxtailring
