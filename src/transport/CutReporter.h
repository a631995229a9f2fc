#pragma once

#include "foxtailring/transport/ConnectionCut.h"

#include <chrono>
#include <cstddef>
#include <functional>

namespace foxtailring {

/// \brief Counts the bytes of a connection's current request, and reports a connection that ends
/// with them.
class CutReporter
{
public:
    using Hook = std::function<void(const ConnectionCut &)>;

    /// \param hook may be empty; must outlive the object
    explicit CutReporter(const Hook &hook);

    /// \brief The next request begins.
    /// \param heldBytes arrived behind the request before it
    void beginRequest(std::size_t heldBytes);
    void addBytes(std::size_t size);

    /// \brief The connection ends during the current request. Reports nothing if no byte of it has
    /// arrived.
    void report(ConnectionCut::Cause cause, ConnectionCut::Phase phase) const;
    /// \brief The server closes an idle connection, \a size bytes of which were not read.
    void reportUnread(std::size_t size) const;
    /// \brief The connection was closed before the \a size bytes just read were handled. Reports
    /// nothing if a part of the request had arrived before, as that is reported by itself.
    void reportDiscarded(std::size_t size) const;

private:
    const Hook &m_hook;
    std::size_t m_arrivedBytes = 0;
    std::chrono::steady_clock::time_point m_firstByteAt;
};

} // namespace foxtailring
