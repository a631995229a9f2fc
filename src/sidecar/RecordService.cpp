#include "foxtailring/sidecar/RecordService.h"

#include "foxtailring/protocol/FindGeneration.h"
#include "foxtailring/protocol/Refused.h"
#include "foxtailring/sidecar/MessageStream.h"
#include "foxtailring/sidecar/SidecarSettings.h"

namespace foxtailring {

namespace {

void answer(MessageStream &stream, const Result<GenerationRecord> &record)
{
    if (record)
        stream.sendLast(record.value());
    else
        stream.sendLast(Refused {{}, 0, record.error().code, record.error().message, 0});
}

} // namespace

RecordService::RecordService(const SidecarContext &context)
    : m_context(context)
    , m_records({context.settings->recordRetention, context.settings->maxRecords})
{
}

void RecordService::openFind(const std::shared_ptr<Http2Stream> &stream)
{
    MessageStream::open(stream,
                        [self = shared_from_this()](const std::shared_ptr<MessageStream> &opened,
                                                    const Frame &frame) {
                            opened->onFrame(nullptr);
                            answer(*opened, self->find(frame));
                        });
}

void RecordService::openRecord(const std::shared_ptr<Http2Stream> &stream)
{
    MessageStream::open(stream,
                        [self = shared_from_this()](const std::shared_ptr<MessageStream> &opened,
                                                    const Frame &frame) {
                            opened->onFrame(nullptr);
                            answer(*opened, self->store(frame));
                        });
}

Result<GenerationRecord> RecordService::find(const Frame &frame)
{
    const auto wanted = decodeMessage<FindGeneration>(frame);
    if (!wanted)
        return Error {ErrorCode::InvalidArgument, wanted.error().message};
    const std::lock_guard lock(m_mutex);
    m_records.expire(m_context.clock());
    return m_records.find(wanted.value().account, wanted.value().idempotencyKey);
}

Result<GenerationRecord> RecordService::store(const Frame &frame)
{
    const auto record = decodeMessage<GenerationRecord>(frame);
    if (!record)
        return Error {ErrorCode::InvalidArgument, record.error().message};
    const std::lock_guard lock(m_mutex);
    m_records.expire(m_context.clock());
    if (const auto stored = m_records.store(record.value(), m_context.clock()); !stored)
        return stored.error();
    return record.value();
}

} // namespace foxtailring
