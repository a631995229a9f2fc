#pragma once

#include "Net.h"

#include <boost/asio/buffer.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Bytes to be written to a connection, in order. One write is in progress at a time; what
/// is added meanwhile forms the batch after it.
class OutputQueue
{
public:
    /// \param payloadBytes of responses among \a bytes
    void add(std::string_view bytes, std::size_t payloadBytes);
    /// \brief True while a batch is being written.
    bool isWriting() const { return m_isWriting; }
    /// \brief True if a batch waits behind the one in progress.
    bool hasWaiting() const { return !m_waiting.empty(); }

    /// \brief Makes what waits the batch in progress. To be called while none is.
    void startBatch();
    /// \brief The rest of the batch in progress. Valid until onWritten() or startBatch().
    net::const_buffer rest() const;
    /// \brief The first \a size bytes of rest() are written. Returns true at the end of the batch.
    bool onWritten(std::size_t size);
    /// \brief Takes the payload of the last batch, which counts until then.
    std::size_t takeWrittenPayload();
    /// \brief Payload bytes that have not been written or taken.
    std::size_t payloadBytes() const { return m_waitingPayload + m_batchPayload; }
    /// \brief Frees the memory of a large batch that is written.
    void releaseBatch();

private:
    bool m_isWriting = false;
    std::string m_waiting;
    std::string m_batch;
    std::size_t m_offset = 0; ///< bytes of m_batch already written
    std::size_t m_waitingPayload = 0;
    std::size_t m_batchPayload = 0;
};

} // namespace foxtailring
