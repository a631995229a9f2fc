#pragma once

#include "foxtailring/base/Result.h"

#include <memory>
#include <string_view>

namespace foxtailring {

struct CallJob;
struct CallerRequest;
struct EntryParts;

/// \brief Takes calls of plain services: `/services/<name>/<path>`.
class CallPort
{
public:
    static constexpr std::string_view prefix = "/services/";

    explicit CallPort(EntryParts &parts);

    void handle(CallerRequest request);

private:
    Result<CallJob> job(const CallerRequest &request) const;
    void admit(const std::shared_ptr<CallerRequest> &request, CallJob job);

    EntryParts &m_parts;
};

} // namespace foxtailring
