#include "GenerationPort.h"

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/entry/Problem.h"
#include "foxtailring/transport/Http1Responder.h"

#include "AdmissionPass.h"
#include "CallerRequest.h"
#include "EntryParts.h"
#include "foxtailring/base/ThreadLocalRandom.h"
#include "GenerationRunner.h"
#include "RequestTime.h"
#include "SseAnswer.h"
#include "WholeAnswer.h"

#include <algorithm>
#include <atomic>

namespace foxtailring {

namespace {

std::int64_t secondsSince1970()
{
    return std::chrono::duration_cast<std::chrono::seconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void setModel(const ConfigSnapshot &config, GenerationJob &job)
{
    const auto adapter = config.adapters.find(job.request.model);
    const bool isAdapter = adapter != config.adapters.end();
    job.model = isAdapter ? adapter->second.model : job.request.model;
    if (isAdapter)
        job.adapter = job.request.model;
}

AdmissionRequest admissionRequest(const GenerationJob &job, const CallerRequest &request)
{
    AdmissionRequest out;
    out.account = job.account;
    out.service = job.service;
    out.limits = {request.account.maxConcurrent, request.account.requestsPerSecond};
    out.priority = job.priority;
    // Without a deadline of the caller, the controller bounds the wait by its own default.
    if (preferredWait(request.http.header("Prefer")))
        out.deadline = job.spec.deadline;
    return out;
}

} // namespace

GenerationPort::GenerationPort(EntryParts &parts)
    : m_parts(parts)
{
}

void GenerationPort::handle(CallerRequest request, bool chat)
{
    auto made = job(request, chat);
    if (!made) {
        refuse(request, made.error());
        return;
    }
    const auto shared = std::make_shared<CallerRequest>(std::move(request));
    if (!shared->http.header("Last-Event-ID").empty())
        resume(shared, std::move(made).value());
    else if (!made.value().idempotencyKey.empty())
        findByKey(shared, std::move(made).value());
    else
        admit(shared, std::move(made).value());
}

Result<GenerationJob> GenerationPort::job(const CallerRequest &request, bool chat) const
{
    auto parsed = CompletionRequest::parse(request.http.body, chat);
    if (!parsed)
        return parsed.error();
    GenerationJob out;
    out.request = std::move(parsed).value();
    const auto *service = request.config->serviceForModel(out.request.model);
    if (!service || service->type != ServiceType::Generation)
        return Error {ErrorCode::NotFound, "no service has the model " + out.request.model};
    if (!request.account.mayUse(service->name))
        return Error {ErrorCode::Forbidden, "this client account may not use " + service->name};
    out.account = request.account.name;
    out.priority = request.account.priority;
    out.service = service->name;
    setModel(*request.config, out);
    out.weights = {service->latencyWeight, service->resourceWeight};
    out.idempotencyKey = request.http.header("Idempotency-Key");
    out.traceparent = request.trace.startSpan(threadLocalRandom()).toHeader();
    const std::uint32_t wanted =
        out.request.maxTokens > 0 ? out.request.maxTokens : m_parts.settings.defaultMaxTokens;
    if (wanted > m_parts.settings.maxTokensLimit)
        return Error {ErrorCode::InvalidArgument,
                      "member \"max_tokens\" must be at most "
                          + std::to_string(m_parts.settings.maxTokensLimit)};
    out.spec.requestId = threadLocalRandom().generateHexId();
    out.spec.maxTokens = wanted;
    out.spec.stopSequences = out.request.stops;
    out.spec.isStreamed = out.request.stream;
    out.spec.hasIdempotencyKey = !out.idempotencyKey.empty();
    const auto wait = preferredWait(request.http.header("Prefer"));
    const std::chrono::milliseconds limit = m_parts.settings.generationDeadline;
    out.spec.deadline =
        m_parts.clock() + (wait ? std::min<std::chrono::milliseconds>(*wait, limit) : limit);
    return out;
}

void GenerationPort::resume(const Request &request, GenerationJob job)
{
    const auto token =
        ResumeToken::verify(request->http.header("Last-Event-ID"), m_parts.settings.secret);
    if (!token) {
        const bool isForged = token.error().code == ErrorCode::Unauthorized;
        refuse(*request,
               {isForged ? ErrorCode::Forbidden : ErrorCode::InvalidArgument,
                "Last-Event-ID: " + token.error().message});
        return;
    }
    const ResumeToken &position = token.value();
    if (position.account != job.account)
        return refuse(*request,
                      {ErrorCode::Forbidden, "Last-Event-ID belongs to another client account"});
    if (!job.spec.isStreamed)
        return refuse(*request,
                      {ErrorCode::InvalidArgument, "Last-Event-ID needs \"stream\": true"});
    if (position.contentHash != job.request.contentHash)
        return refuse(
            *request,
            {ErrorCode::Conflict, "Last-Event-ID belongs to a request with another body"});
    m_parts.metrics.add("resume_tokens_accepted_total");
    job.spec.requestId = position.requestId;
    job.spec.callerOffset = position.nextOffset;
    if (job.idempotencyKey.empty())
        return resumeAt(request, std::move(job), position.serverAddress, position.attempt);
    // The record may name a later attempt than the one the caller saw.
    const std::string service = job.service;
    const std::string account = job.account;
    const std::string key = job.idempotencyKey;
    m_parts.directory.find(
        service, account, key,
        [this, request, job = std::move(job), position](std::optional<GenerationRecord> record) {
            const bool isLater = record && record->requestId == position.requestId
                && record->attempt > position.attempt;
            resumeAt(request, job, isLater ? record->serverAddress : position.serverAddress,
                     isLater ? record->attempt : position.attempt);
        });
}

void GenerationPort::resumeAt(const Request &request, GenerationJob job, const std::string &address,
                              std::uint32_t attempt)
{
    runner(*request, std::move(job))->attach(address, attempt);
}

void GenerationPort::findByKey(const Request &request, GenerationJob job)
{
    const std::string service = job.service;
    const std::string account = job.account;
    const std::string key = job.idempotencyKey;
    m_parts.directory.find(
        service, account, key,
        [this, request, job = std::move(job)](std::optional<GenerationRecord> record) mutable {
            if (!record)
                return admit(request, std::move(job));
            if (record->bodyHash != job.request.contentHash)
                return refuse(*request,
                              {ErrorCode::Conflict, "Idempotency-Key was used with another body"});
            m_parts.metrics.add("keyed_generations_found_total");
            job.spec.requestId = record->requestId;
            resumeAt(request, std::move(job), record->serverAddress, record->attempt);
        });
}

void GenerationPort::admit(const Request &request, GenerationJob job)
{
    const AdmissionRequest wanted = admissionRequest(job, *request);
    const auto queued = std::make_shared<std::atomic<Ticket>>(0);
    request->responder->onDisconnect([this, queued] { m_parts.admission.withdraw(*queued); });
    const auto ticket = m_parts.admission.submit(
        wanted,
        [this, request, job = std::move(job)](std::shared_ptr<AdmissionPass> pass,
                                              const AdmissionRefusal &refusal) {
            if (pass)
                return runner(*request, job)->start(std::move(pass));
            m_parts.metrics.add("requests_refused_total{code=\""
                                + std::string(errorCodeName(refusal.code)) + "\"}");
            const auto retryAfter =
                std::chrono::ceil<std::chrono::milliseconds>(refusal.retryAfter);
            request->responder->respond(Problem::of({refusal.code, refusal.message},
                                                    Problem::notRun, retryAfter,
                                                    m_parts.settings.retryAfter)
                                            .response());
        });
    // A caller that went away before this line is noticed when the generation starts.
    if (ticket)
        *queued = *ticket;
}

void GenerationPort::refuse(const CallerRequest &request, const Error &error) const
{
    m_parts.metrics.add("requests_refused_total{code=\"" + std::string(errorCodeName(error.code))
                        + "\"}");
    request.responder->respond(
        Problem::of(error, Problem::notRun, {}, m_parts.settings.retryAfter).response());
}

std::shared_ptr<GenerationRunner> GenerationPort::runner(const CallerRequest &request,
                                                         GenerationJob job)
{
    auto answer = writer(request, job);
    return std::make_shared<GenerationRunner>(m_parts, std::move(job), std::move(answer),
                                              request.responder);
}

std::unique_ptr<AnswerWriter> GenerationPort::writer(const CallerRequest &request,
                                                     const GenerationJob &job) const
{
    AnswerOptions options;
    options.shape = {job.spec.requestId, job.request.model, job.request.chat, secondsSince1970()};
    options.secret = m_parts.settings.secret;
    options.traceparent = request.trace.toHeader();
    options.includeUsage = job.request.includeUsage;
    if (job.request.stream)
        return std::make_unique<SseAnswer>(request.responder, std::move(options));
    return std::make_unique<WholeAnswer>(request.responder, std::move(options));
}

} // namespace foxtailring
