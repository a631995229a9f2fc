#include "CutReporter.h"

#include "HookGuard.h"

namespace foxtailring {

CutReporter::CutReporter(const Hook &hook)
    : m_hook(hook)
{
}

void CutReporter::beginRequest(std::size_t heldBytes)
{
    m_arrivedBytes = heldBytes;
    m_firstByteAt = std::chrono::steady_clock::now();
}

void CutReporter::addBytes(std::size_t size)
{
    if (m_arrivedBytes == 0)
        m_firstByteAt = std::chrono::steady_clock::now();
    m_arrivedBytes += size;
}

void CutReporter::report(ConnectionCut::Cause cause, ConnectionCut::Phase phase) const
{
    if (m_arrivedBytes == 0)
        return;
    const auto age = std::chrono::steady_clock::now() - m_firstByteAt;
    runHook(m_hook,
            ConnectionCut {cause, phase, m_arrivedBytes,
                           std::chrono::duration_cast<std::chrono::milliseconds>(age)});
}

// Tells a request that was never read from one that was read: the first may be sent again safely.
void CutReporter::reportUnread(std::size_t size) const
{
    if (size > 0)
        runHook(m_hook,
                ConnectionCut {ConnectionCut::Cause::Stop, ConnectionCut::Phase::Unread, size, {}});
}

// The socket is read before the handler of the read runs, so a close may come between them.
void CutReporter::reportDiscarded(std::size_t size) const
{
    if (size > 0 && m_arrivedBytes == 0)
        runHook(m_hook,
                ConnectionCut {
                    ConnectionCut::Cause::Closing, ConnectionCut::Phase::Discarded, size, {}});
}

} // namespace foxtailring
