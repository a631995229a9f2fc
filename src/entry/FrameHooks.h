#pragma once

#include "foxtailring/base/Error.h"
#include "foxtailring/protocol/Frame.h"

#include <functional>
#include <memory>

namespace foxtailring {

class Http2Stream;

/// \brief What happens on a stream of frames. The hooks never run concurrently.
struct FrameHooks
{
    std::function<void(Frame)> frame;
    std::function<void(Error)> closed; ///< runs once, last; Unavailable: nothing was sent

    /// \brief Sets the hooks of \a stream. A malformed frame resets it.
    static void set(const std::shared_ptr<Http2Stream> &stream, FrameHooks hooks);
};

} // namespace foxtailring
