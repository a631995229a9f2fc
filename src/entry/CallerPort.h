#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/configuration/ClientAccountResource.h"
#include "foxtailring/decisions/configuration/ConfigSnapshot.h"

#include "CallPort.h"
#include "GenerationPort.h"

#include <atomic>
#include <memory>

namespace foxtailring {

class Http1Responder;
struct CallerRequest;
struct EntryParts;
struct HttpRequest;

/// \brief The callers' HTTP interface: identifies the client account and passes requests on.
class CallerPort
{
public:
    explicit CallerPort(EntryParts &parts);

    void handle(HttpRequest request, const std::shared_ptr<Http1Responder> &responder);
    /// \brief From now on every request is refused with "not run".
    void refuseNew() { m_refusing = true; }

private:
    Result<CallerRequest> identify(HttpRequest request,
                                   const std::shared_ptr<Http1Responder> &responder) const;
    Result<ClientAccountResource> account(const ConfigSnapshot &config,
                                          const HttpRequest &request) const;
    void dispatch(CallerRequest request);
    void listModels(const CallerRequest &request) const;

    EntryParts &m_parts;
    GenerationPort m_generations;
    CallPort m_calls;
    std::atomic<bool> m_refusing = false;
};

} // namespace foxtailring
