#pragma once

#include "foxtailring/sidecar/CallForwarder.h"
#include "foxtailring/sidecar/ClaimStore.h"
#include "foxtailring/sidecar/SidecarContext.h"

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>

namespace foxtailring {

class ClaimRunner;
class Http2Stream;
class MessageStream;
struct Call;
struct CallResult;
struct Frame;

/// \brief Serves `/call`. Thread-safe.
class CallService : public std::enable_shared_from_this<CallService>
{
public:
    CallService(const SidecarContext &context, ClaimStore store);
    ~CallService();
    CallService(const CallService &) = delete;
    CallService &operator=(const CallService &) = delete;

    void open(const std::shared_ptr<Http2Stream> &stream);
    void stop();
    /// \brief Number of keyed calls in progress, of outcomes that are not stored yet, and of
    /// results whose stream has not ended.
    std::size_t pendingCalls() const;

private:
    using Stream = std::shared_ptr<MessageStream>;

    void takeCall(const Stream &stream, const Frame &frame);
    static Result<Done> check(const Call &call);
    void forward(const Stream &stream, const Call &call);
    void claim(const Stream &stream, const Call &call);
    void refuse(const Stream &stream, const Call &call, bool isKeyed,
                const std::string &message) const;
    void answer(const Stream &stream, const CallResult &result) const;

    const SidecarContext m_context;
    const std::shared_ptr<const CallForwarder> m_forwarder;
    const std::shared_ptr<ClaimRunner> m_claims; ///< nullptr when no platform is configured
    const std::shared_ptr<std::atomic<std::size_t>> m_undelivered;
};

} // namespace foxtailring
