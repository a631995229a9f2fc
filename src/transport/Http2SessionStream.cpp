#include "Http2SessionStream.h"

#include "HookGuard.h"
#include "Http2Session.h"
#include "LargeBuffer.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace foxtailring {

namespace {

constexpr std::size_t maxHeaderBytes = 64 * 1024;

} // namespace

Http2SessionStream::Http2SessionStream(std::weak_ptr<Http2Session> session, Strand strand)
    : m_session(std::move(session))
    , m_strand(std::move(strand))
{
}

template <typename Action>
void Http2SessionStream::post(Action action)
{
    net::post(m_strand,
              [self = shared_from_this(), action = std::move(action)]() mutable { action(*self); });
}

void Http2SessionStream::onData(std::function<void(std::string_view)> hook)
{
    post([hook = std::move(hook)](Http2SessionStream &self) mutable {
        self.m_dataHook = std::move(hook);
        self.runHooks();
    });
}

void Http2SessionStream::onEnd(std::function<void()> hook)
{
    post([hook = std::move(hook)](Http2SessionStream &self) mutable {
        self.m_endHook = std::move(hook);
        self.runHooks();
    });
}

void Http2SessionStream::onClosed(std::function<void(Result<Done>)> hook)
{
    post([hook = std::move(hook)](Http2SessionStream &self) mutable {
        self.m_closedHook = std::move(hook);
        self.runHooks();
    });
}

void Http2SessionStream::send(std::string bytes)
{
    m_pendingBytes += bytes.size();
    post([bytes = std::move(bytes)](Http2SessionStream &self) { self.queue(bytes); });
}

void Http2SessionStream::finish()
{
    post([](Http2SessionStream &self) { self.finishNow(); });
}

void Http2SessionStream::reset()
{
    post([](Http2SessionStream &self) {
        if (self.m_result)
            return;
        if (const auto session = self.m_session.lock())
            session->resetStream(self.m_id);
        self.onStreamClosed({ErrorCode::Closed, "the stream was reset by this side"});
    });
}

bool Http2SessionStream::addHeader(std::string_view name, std::string_view value)
{
    m_headerBytes += name.size() + value.size();
    if (m_headerBytes > maxHeaderBytes)
        return false;
    if (name == ":path")
        m_path = value;
    else if (!name.starts_with(':'))
        m_headers.push_back({std::string(name), std::string(value)});
    return true;
}

void Http2SessionStream::queue(std::string_view bytes)
{
    if (m_result || m_finishing) {
        m_pendingBytes -= bytes.size();
        return;
    }
    m_output += bytes;
    notifyOutputReady();
}

void Http2SessionStream::finishNow()
{
    if (m_result || m_finishing)
        return;
    m_finishing = true;
    notifyOutputReady();
}

void Http2SessionStream::notifyOutputReady()
{
    if (const auto session = m_session.lock())
        session->onOutputReady(*this);
}

std::size_t Http2SessionStream::takeOutput(std::span<std::uint8_t> buffer, bool &isLast)
{
    const std::size_t size = std::min(buffer.size(), m_output.size() - m_outputOffset);
    std::copy_n(m_output.data() + m_outputOffset, size, buffer.data());
    m_outputOffset += size;
    m_pendingBytes -= size;
    if (m_outputOffset == m_output.size()) {
        clearBuffer(m_output);
        m_outputOffset = 0;
    } else if (m_outputOffset > m_output.size() / 2) {
        // Erasing only after half is consumed makes the cost per byte amortized O(1).
        m_output.erase(0, std::exchange(m_outputOffset, 0));
    }
    isLast = m_finishing && m_output.empty();
    m_localEnded = isLast;
    return size;
}

bool Http2SessionStream::deliverData(std::string_view bytes)
{
    if (!m_dataHook || !m_undelivered.empty()) {
        m_undelivered += bytes;
        return false;
    }
    runHook(m_dataHook, bytes);
    return true;
}

void Http2SessionStream::onRemoteEnd()
{
    m_remoteEnded = true;
    runHooks();
}

void Http2SessionStream::onStreamClosed(Result<Done> result)
{
    if (m_result)
        return;
    m_result = std::move(result);
    discardOutput();
    runHooks();
}

// Runs the data, end and closed hooks in this order, in whichever order they were set.
void Http2SessionStream::runHooks()
{
    if (!m_closedHookRan)
        runDataHook();
    if (!m_closedHookRan)
        runEndHook();
    if (m_result && m_closedHook)
        runClosedHook();
    dropFinishedHooks();
}

void Http2SessionStream::runDataHook()
{
    if (!m_dataHook || m_undelivered.empty())
        return;
    const std::string bytes = std::exchange(m_undelivered, {});
    runHook(m_dataHook, bytes);
    if (const auto session = m_session.lock())
        session->onConsumed(m_id, bytes.size());
}

void Http2SessionStream::runEndHook()
{
    if (m_remoteEnded && m_undelivered.empty() && m_endHook)
        runHook(std::exchange(m_endHook, nullptr));
}

void Http2SessionStream::runClosedHook()
{
    if (!m_closedHookRan)
        runHook(std::exchange(m_closedHook, nullptr), *m_result);
    m_closedHookRan = true;
}

// Hooks may hold the stream itself, so those that cannot run again are destroyed.
void Http2SessionStream::dropFinishedHooks()
{
    if (m_closedHookRan)
        return dropHooks();
    if (m_result && m_undelivered.empty())
        const auto data = std::exchange(m_dataHook, nullptr);
    if (m_result && !m_remoteEnded)
        const auto end = std::exchange(m_endHook, nullptr);
}

void Http2SessionStream::discardOutput()
{
    m_pendingBytes -= m_output.size() - m_outputOffset;
    m_output = {};
    m_outputOffset = 0;
}

void Http2SessionStream::dropHooks()
{
    const auto data = std::exchange(m_dataHook, nullptr);
    const auto end = std::exchange(m_endHook, nullptr);
    const auto closed = std::exchange(m_closedHook, nullptr);
    m_undelivered = {};
}

} // namespace foxtailring
