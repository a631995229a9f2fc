#include "LineWriter.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace foxtailring {

LineWriter::LineWriter(int descriptor, std::size_t maxPendingBytes)
    : m_descriptor(descriptor)
    , m_maxPendingBytes(maxPendingBytes)
{
}

void LineWriter::write(std::string_view line)
{
    const std::lock_guard lock(m_mutex);
    flush();
    if (m_pending.size() + line.size() + 1 > m_maxPendingBytes) {
        ++m_droppedCount;
        return;
    }
    m_pending += line;
    m_pending += '\n';
    flush();
}

bool LineWriter::flush(std::chrono::milliseconds timeout)
{
    using std::chrono::steady_clock;
    const auto end = steady_clock::now() + timeout;
    const std::lock_guard lock(m_mutex);
    flush();
    while (!m_pending.empty()) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(end - steady_clock::now());
        const std::size_t size = m_pending.size();
        if (left.count() <= 0 || !isWritable(left))
            return false;
        flush();
        // The reader has closed its end.
        if (m_pending.size() == size)
            return false;
    }
    return true;
}

std::uint64_t LineWriter::takeDroppedCount()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_droppedCount, 0);
}

// A pipe that polls as writable accepts PIPE_BUF bytes without blocking, so each write() is at most
// that long.
void LineWriter::flush()
{
    std::size_t flushed = 0;
    while (flushed < m_pending.size() && isWritable()) {
        const std::size_t size = std::min<std::size_t>(m_pending.size() - flushed, PIPE_BUF);
        const auto written = ::write(m_descriptor, m_pending.data() + flushed, size);
        if (written <= 0)
            break;
        flushed += static_cast<std::size_t>(written);
    }
    m_pending.erase(0, flushed);
}

bool LineWriter::isWritable(std::chrono::milliseconds timeout) const
{
    pollfd entry {m_descriptor, POLLOUT, 0};
    return ::poll(&entry, 1, static_cast<int>(timeout.count())) == 1
        && (entry.revents & POLLOUT) != 0;
}

} // namespace foxtailring
