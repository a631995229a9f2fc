#include "foxtailring/sidecar/EngineProbe.h"

#include "foxtailring/sidecar/SidecarSettings.h"
#include "foxtailring/transport/Http1Client.h"

#include <utility>

namespace foxtailring {

EngineProbe::EngineProbe(const SidecarContext &context)
    : m_context(context)
{
}

void EngineProbe::ask(Hook hook)
{
    if (!m_pending.exchange(true))
        send(m_context.clock(), true, std::move(hook));
}

void EngineProbe::send(TimePoint sentAt, bool mayRepeat, Hook hook)
{
    m_context.backend->request(
        m_context.settings->backend, {"GET", "/health", {}, {}}, m_context.settings->probeTimeout,
        [self = shared_from_this(), sentAt, mayRepeat,
         hook = std::move(hook)](const Result<HttpResponse> &response) mutable {
            // A kept-alive connection may be closed just when it is used again.
            if (!response && response.error().code == ErrorCode::Closed && mayRepeat)
                return self->send(sentAt, false, std::move(hook));
            self->m_pending = false;
            if (response)
                return hook(sentAt, Done {});
            const bool isSilent = response.error().code == ErrorCode::Timeout;
            hook(sentAt,
                 Error {isSilent ? ErrorCode::EngineSilent : ErrorCode::EngineFailed,
                        "engine probe: " + response.error().message});
        });
}

} // namespace foxtailring
