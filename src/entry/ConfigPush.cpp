#include "ConfigPush.h"

#include "foxtailring/protocol/ConfigAck.h"
#include "foxtailring/protocol/ConfigUpdate.h"
#include "foxtailring/protocol/Frame.h"
#include "foxtailring/transport/Http2Stream.h"

#include "EntryParts.h"
#include "FrameHooks.h"
#include "SidecarLink.h"
#include "SidecarPaths.h"

#include <algorithm>

namespace foxtailring {

namespace {

// An update without an answer after this time is sent again on a new stream.
constexpr std::chrono::seconds ackTimeout {2};

} // namespace

ConfigPush::ConfigPush(EntryParts &parts, std::shared_ptr<SidecarLink> link)
    : m_parts(parts)
    , m_link(std::move(link))
{
}

void ConfigPush::reported(std::int64_t revision, std::int64_t epoch, std::uint64_t incarnation)
{
    const bool isNew = std::exchange(m_incarnation, incarnation) != incarnation;
    // A report may have been on its way before the latest acknowledgement.
    const bool isSameEpoch = !isNew && epoch == m_epoch;
    m_revision = isSameEpoch ? std::max(revision, m_revision.load()) : revision;
    m_epoch = epoch;
    if (isNew)
        m_sentRevision = 0;
}

void ConfigPush::pushIfBehind(TimePoint now)
{
    const auto wanted = m_parts.config.snapshot();
    const bool isCurrent = m_epoch == wanted->epoch && m_revision >= wanted->revision;
    if (m_incarnation == 0 || wanted->revision == 0 || isCurrent)
        return;
    if (m_sentRevision != 0 && now - m_sentAt > ackTimeout)
        close();
    // The acknowledgement of the one on its way tells what to send next.
    if (m_sentRevision != 0)
        return;
    if (!m_stream.stream)
        open();
    const ConfigUpdate update = m_parts.config.updateSince(m_revision, m_epoch);
    m_sentEpoch = update.epoch;
    m_sentRevision = update.revision;
    m_sentAt = now;
    m_stream.stream->send(encodeMessage(update));
    m_parts.metrics.add("config_updates_sent_total");
}

void ConfigPush::open()
{
    m_stream = m_link->open(sidecar_paths::config);
    const std::uint64_t number = ++m_streamNumber;
    FrameHooks::set(
        m_stream.stream,
        {[this, post = m_post, number](Frame frame) {
             post([this, number, frame = std::move(frame)] { frameArrived(number, frame); });
         },
         [this, post = m_post, number](const Error &) {
             post([this, number] {
                 if (number == m_streamNumber)
                     close();
             });
         }});
}

void ConfigPush::frameArrived(std::uint64_t stream, const Frame &frame)
{
    const auto ack = decodeMessage<ConfigAck>(frame);
    if (stream != m_streamNumber || !ack)
        return;
    // The sidecar decides what it has, even when that is less than was sent.
    m_revision = ack.value().revision;
    m_epoch = ack.value().epoch;
    m_sentRevision = 0;
    // One that keeps another epoch knows that the one sent has ended. Its next report, or the
    // store, decides what to send.
    if (m_epoch == m_sentEpoch)
        pushIfBehind(m_parts.clock());
}

void ConfigPush::close()
{
    if (m_stream.stream)
        m_stream.stream->reset();
    m_stream = {};
    ++m_streamNumber;
    m_sentRevision = 0;
}

} // namespace foxtailring
