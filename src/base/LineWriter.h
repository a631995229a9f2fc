#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Writes lines to a file descriptor without blocking on its reader. Thread-safe.
///
/// Bytes that cannot be written yet are buffered; a line that does not fit the buffer is dropped.
class LineWriter
{
public:
    explicit LineWriter(int descriptor, std::size_t maxPendingBytes = 64 * 1024);

    /// \param line without a newline
    void write(std::string_view line);
    /// \brief Waits up to \a timeout until all buffered bytes are written. False if some are left.
    bool flush(std::chrono::milliseconds timeout);
    /// \brief Number of lines dropped since the last call.
    std::uint64_t takeDroppedCount();

private:
    void flush();
    bool isWritable(std::chrono::milliseconds timeout = {}) const;

    const int m_descriptor;
    const std::size_t m_maxPendingBytes;
    std::mutex m_mutex;
    std::string m_pending;
    std::uint64_t m_droppedCount = 0;
};

} // namespace foxtailring
