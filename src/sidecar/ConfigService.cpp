#include "foxtailring/sidecar/ConfigService.h"

#include "foxtailring/base/MetricRegistry.h"
#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/decisions/configuration/ConfigState.h"
#include "foxtailring/decisions/membership/DrainState.h"
#include "foxtailring/protocol/ConfigAck.h"
#include "foxtailring/protocol/ConfigUpdate.h"
#include "foxtailring/sidecar/MessageStream.h"
#include "foxtailring/sidecar/SidecarSettings.h"

namespace foxtailring {

ConfigService::ConfigService(const SidecarContext &context, std::function<void()> leavingChanged)
    : m_context(context)
    , m_leavingChanged(std::move(leavingChanged))
{
}

void ConfigService::open(const std::shared_ptr<Http2Stream> &stream)
{
    MessageStream::open(
        stream,
        [self = shared_from_this()](const std::shared_ptr<MessageStream> &opened,
                                    const Frame &frame) { self->takeFrame(*opened, frame); });
}

// The acknowledgement carries the revision in force, so that an entry whose update started above
// it sends a full one.
void ConfigService::takeFrame(MessageStream &stream, const Frame &frame)
{
    const auto update = decodeMessage<ConfigUpdate>(frame);
    if (!update)
        return stream.reset();
    const std::int64_t before = m_context.config->revision();
    if (!m_context.config->apply(update.value()))
        m_context.metrics->add("sidecar_config_stale_total");
    const auto current = m_context.config->snapshot();
    const std::int64_t revision = current->revision;
    m_context.metrics->setGauge("sidecar_config_revision", static_cast<double>(revision));
    if (before == 0 && revision > 0)
        StructuredLog::info("firstConfiguration", {{"revision", std::to_string(revision)}});
    takeDrain();
    stream.send(ConfigAck {m_context.settings->nodeId, revision, current->epoch});
}

// In force before the acknowledgement, so that an operator who waits for the revision knows that
// the server takes no new work.
void ConfigService::takeDrain()
{
    const bool drain = m_context.config->snapshot()->isDraining(m_context.settings->nodeId);
    if (!m_context.drain->setHold(drain))
        return;
    StructuredLog::info(drain ? "heldByOperator" : "releasedByOperator");
    m_leavingChanged();
}

} // namespace foxtailring
