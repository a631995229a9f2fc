#include "CallPort.h"

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/entry/Problem.h"
#include "foxtailring/transport/Http1Responder.h"

#include "AdmissionPass.h"
#include "CallerRequest.h"
#include "CallJob.h"
#include "CallRunner.h"
#include "EntryParts.h"
#include "foxtailring/base/ThreadLocalRandom.h"
#include "HeaderFilter.h"
#include "RefusalOutcome.h"
#include "RequestTime.h"

#include <algorithm>

namespace foxtailring {

namespace {

bool isSafeMethod(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

} // namespace

CallPort::CallPort(EntryParts &parts)
    : m_parts(parts)
{
}

void CallPort::handle(CallerRequest request)
{
    auto made = job(request);
    if (!made) {
        request.responder->respond(
            Problem::of(made.error(), refusalOutcome(request.http), {}, m_parts.settings.retryAfter)
                .response());
        return;
    }
    admit(std::make_shared<CallerRequest>(std::move(request)), std::move(made).value());
}

Result<CallJob> CallPort::job(const CallerRequest &request) const
{
    const std::string_view rest = std::string_view(request.http.target).substr(prefix.size());
    const std::string name(rest.substr(0, rest.find_first_of("/?")));
    const std::string_view tail = rest.substr(name.size());
    const auto *service = request.config->service(name);
    if (!service || service->type != ServiceType::Plain)
        return Error {ErrorCode::NotFound, "there is no plain service " + name};
    if (!request.account.mayUse(name))
        return Error {ErrorCode::Forbidden, "this client account may not use " + name};
    CallJob out;
    Call &call = out.call;
    call.requestId = threadLocalRandom().generateHexId();
    call.account = request.account.name;
    call.service = name;
    call.method = request.http.method;
    call.target = tail.starts_with('/') ? std::string(tail) : '/' + std::string(tail);
    const std::string_view path = std::string_view(call.target).substr(0, call.target.find('?'));
    call.idempotent = isSafeMethod(call.method) || !service->isNonIdempotent(call.method, path);
    call.headers = HeaderFilter::request(request.http.headers);
    call.body = request.http.body;
    call.idempotencyKey = request.http.header("Idempotency-Key");
    call.traceparent = request.trace.startSpan(threadLocalRandom()).toHeader();
    const std::chrono::milliseconds limit = m_parts.settings.callDeadline;
    const auto wait = preferredWait(request.http.header("Prefer"));
    out.deadline =
        m_parts.clock() + (wait ? std::min<std::chrono::milliseconds>(*wait, limit) : limit);
    return out;
}

void CallPort::admit(const std::shared_ptr<CallerRequest> &request, CallJob job)
{
    AdmissionRequest wanted;
    wanted.account = job.call.account;
    wanted.service = job.call.service;
    wanted.limits = {request->account.maxConcurrent, request->account.requestsPerSecond};
    wanted.priority = request->account.priority;
    wanted.deadline = job.deadline;
    m_parts.admission.submit(
        wanted,
        [this, request, job = std::move(job)](std::shared_ptr<AdmissionPass> pass,
                                              const AdmissionRefusal &refusal) {
            if (pass) {
                std::make_shared<CallRunner>(m_parts, job, request->responder,
                                             request->trace.toHeader())
                    ->start(std::move(pass));
                return;
            }
            m_parts.metrics.add("calls_total{outcome=\"refused\"}");
            const auto retryAfter =
                std::chrono::ceil<std::chrono::milliseconds>(refusal.retryAfter);
            request->responder->respond(Problem::of({refusal.code, refusal.message},
                                                    refusalOutcome(request->http), retryAfter,
                                                    m_parts.settings.retryAfter)
                                            .response());
        });
}

} // namespace foxtailring
