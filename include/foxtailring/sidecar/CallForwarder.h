#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/sidecar/SidecarContext.h"
#include "foxtailring/transport/HttpResponse.h"

#include <chrono>
#include <functional>
#include <string_view>

namespace foxtailring {

struct Call;

/// \brief Sends calls to the plain service. Thread-safe.
class CallForwarder
{
public:
    /// \brief Unavailable and InvalidArgument: nothing was sent. Any other error: it may have run.
    using Hook = std::function<void(const Result<HttpResponse> &)>;

    explicit CallForwarder(const SidecarContext &context);

    /// \brief Whether the call may be sent more than once, by the entry and by the configuration.
    bool isIdempotent(const Call &call) const;
    /// \brief Sends the call once.
    void send(const Call &call, std::chrono::milliseconds timeout, std::string_view traceparent,
              Hook hook) const;

private:
    const SidecarContext m_context;
};

/// \brief True when an error of CallForwarder::send() proves that nothing was sent.
bool isUnsent(const Error &error);

} // namespace foxtailring
