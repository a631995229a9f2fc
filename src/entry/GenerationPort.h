#pragma once

#include "foxtailring/base/Result.h"

#include <memory>
#include <string>

namespace foxtailring {

class AnswerWriter;
class GenerationRunner;
struct CallerRequest;
struct EntryParts;
struct GenerationJob;
struct GenerationRecord;

/// \brief Takes completion requests: new ones, and those of callers that come back.
class GenerationPort
{
public:
    explicit GenerationPort(EntryParts &parts);

    void handle(CallerRequest request, bool chat);

private:
    using Request = std::shared_ptr<CallerRequest>;

    Result<GenerationJob> job(const CallerRequest &request, bool chat) const;
    void resume(const Request &request, GenerationJob job);
    void resumeAt(const Request &request, GenerationJob job, const std::string &address,
                  std::uint32_t attempt);
    void findByKey(const Request &request, GenerationJob job);
    void admit(const Request &request, GenerationJob job);
    void refuse(const CallerRequest &request, const Error &error) const;
    std::shared_ptr<GenerationRunner> runner(const CallerRequest &request, GenerationJob job);
    std::unique_ptr<AnswerWriter> writer(const CallerRequest &request,
                                         const GenerationJob &job) const;

    EntryParts &m_parts;
};

} // namespace foxtailring
