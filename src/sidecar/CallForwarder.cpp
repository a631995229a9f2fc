#include "foxtailring/sidecar/CallForwarder.h"

#include "foxtailring/decisions/configuration/ConfigState.h"
#include "foxtailring/protocol/Call.h"
#include "foxtailring/protocol/ConfigUpdate.h"
#include "foxtailring/sidecar/SidecarSettings.h"
#include "foxtailring/transport/Http1Client.h"

#include <algorithm>
#include <array>
#include <string>

namespace foxtailring {

namespace {

// These are set here, so those of the caller are not passed on.
constexpr std::array ownHeaders {"host", "traceparent", "idempotency-key", "x-fencing-token"};

bool isOwn(std::string_view name)
{
    const auto equal = [](char a, char b) {
        return (a >= 'A' && a <= 'Z' ? static_cast<char>(a + ('a' - 'A')) : a) == b;
    };
    return std::any_of(ownHeaders.begin(), ownHeaders.end(), [&](std::string_view own) {
        return std::equal(name.begin(), name.end(), own.begin(), own.end(), equal);
    });
}

} // namespace

bool isUnsent(const Error &error)
{
    return error.code == ErrorCode::Unavailable || error.code == ErrorCode::InvalidArgument;
}

CallForwarder::CallForwarder(const SidecarContext &context)
    : m_context(context)
{
}

// An entry with an older configuration may not know yet that a call must run once.
bool CallForwarder::isIdempotent(const Call &call) const
{
    const auto snapshot = m_context.config->snapshot();
    const ServiceResource *service = snapshot->service(call.service);
    return call.idempotent && !(service && service->isNonIdempotent(call.method, call.target));
}

void CallForwarder::send(const Call &call, std::chrono::milliseconds timeout,
                         std::string_view traceparent, Hook hook) const
{
    HttpRequest request {call.method, call.target, {}, call.body};
    for (const HttpHeader &header : call.headers) {
        if (!isOwn(header.name))
            request.headers.push_back(header);
    }
    request.headers.push_back({"traceparent", std::string(traceparent)});
    if (!call.idempotencyKey.empty())
        request.headers.push_back({"Idempotency-Key", call.idempotencyKey});
    const auto snapshot = m_context.config->snapshot();
    const ServiceResource *service = snapshot->service(call.service);
    if (service && service->checksFencing)
        request.headers.push_back({"X-Fencing-Token", std::to_string(m_context.incarnation)});
    m_context.backend->request(m_context.settings->backend, std::move(request), timeout,
                               std::move(hook));
}

} // namespace foxtailring
