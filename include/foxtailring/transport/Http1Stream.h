#pragma once

namespace foxtailring {

/// \brief Handle of a streamed HTTP/1.1 exchange on a connection of its own. Thread-safe.
class Http1Stream
{
public:
    virtual ~Http1Stream() = default;
    /// \brief Closes the connection; onClosed gets Closed unless it has already run.
    virtual void cancel() = 0;
};

} // namespace foxtailring
