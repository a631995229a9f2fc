#pragma once

#include "foxtailring/sidecar/SidecarContext.h"

#include <memory>

namespace foxtailring {

class Http2Stream;
class MessageStream;
struct Frame;

/// \brief Serves `/node/config`: puts updates in force and answers with the revision. Thread-safe.
class ConfigService : public std::enable_shared_from_this<ConfigService>
{
public:
    explicit ConfigService(const SidecarContext &context);

    void open(const std::shared_ptr<Http2Stream> &stream);

private:
    void takeFrame(MessageStream &stream, const Frame &frame);

    const SidecarContext m_context;
};

} // namespace foxtailring
