#pragma once

#include "foxtailring/sidecar/SidecarContext.h"

#include <functional>
#include <memory>

namespace foxtailring {

class Http2Stream;
class MessageStream;
struct Frame;

/// \brief Serves `/node/config`: puts updates in force and answers with the revision. Thread-safe.
class ConfigService : public std::enable_shared_from_this<ConfigService>
{
public:
    /// \param leavingChanged runs when operators stop or restart new work on this server
    ConfigService(const SidecarContext &context, std::function<void()> leavingChanged);

    void open(const std::shared_ptr<Http2Stream> &stream);

private:
    void takeFrame(MessageStream &stream, const Frame &frame);
    void takeDrain();

    const SidecarContext m_context;
    const std::function<void()> m_leavingChanged;
};

} // namespace foxtailring
