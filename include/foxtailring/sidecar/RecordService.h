#pragma once

#include "foxtailring/decisions/generation/GenerationRecords.h"
#include "foxtailring/sidecar/SidecarContext.h"

#include <memory>
#include <mutex>

namespace foxtailring {

class Http2Stream;
class MessageStream;
struct Frame;

/// \brief Serves `/generation/find` and `/generation/record`. Thread-safe.
///
/// Both answer with the record, or with Refused: NotFound, Conflict or Stale.
class RecordService : public std::enable_shared_from_this<RecordService>
{
public:
    explicit RecordService(const SidecarContext &context);

    void openFind(const std::shared_ptr<Http2Stream> &stream);
    void openRecord(const std::shared_ptr<Http2Stream> &stream);

private:
    Result<GenerationRecord> find(const Frame &frame);
    Result<GenerationRecord> store(const Frame &frame);

    const SidecarContext m_context;
    std::mutex m_mutex; // guards m_records
    GenerationRecords m_records;
};

} // namespace foxtailring
