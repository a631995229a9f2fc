#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Writes lines to a file descriptor without ever waiting for its reader. Thread-safe.
///
/// What the reader does not take waits in a bounded buffer; lines beyond that are dropped and
/// counted.
class LineWriter
{
public:
    explicit LineWriter(int descriptor, std::size_t maxPendingBytes = 64 * 1024);

    /// \param line without its line break
    void write(std::string_view line);
    /// \brief Lines dropped since the last call.
    std::uint64_t takeDroppedCount();

private:
    void flush();
    bool isWritable() const;

    const int m_descriptor;
    const std::size_t m_maxPendingBytes;
    std::mutex m_mutex;
    std::string m_pending;
    std::uint64_t m_dropped = 0;
};

} // namespace foxtailring
