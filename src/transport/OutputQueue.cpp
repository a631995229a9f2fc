#include "OutputQueue.h"

#include "LargeBuffer.h"

#include <utility>

namespace foxtailring {

void OutputQueue::add(std::string_view bytes, std::size_t payloadBytes)
{
    m_waiting += bytes;
    m_waitingPayload += payloadBytes;
}

void OutputQueue::startBatch()
{
    m_isWriting = true;
    clearBuffer(m_batch);
    m_batch.swap(m_waiting);
    m_offset = 0;
    m_batchPayload = std::exchange(m_waitingPayload, 0);
}

net::const_buffer OutputQueue::rest() const
{
    return net::buffer(m_batch) + m_offset;
}

bool OutputQueue::onWritten(std::size_t size)
{
    m_offset += size;
    m_isWriting = m_offset < m_batch.size();
    return !m_isWriting;
}

std::size_t OutputQueue::takeWrittenPayload()
{
    return std::exchange(m_batchPayload, 0);
}

void OutputQueue::releaseBatch()
{
    clearBuffer(m_batch);
}

} // namespace foxtailring
