#include "FakeEngine.h"

#include "FakeExchange.h"
#include "foxtailring/protocol/KeyHash.h"

#include <algorithm>
#include <thread>

namespace foxtailring::fakes {

namespace {

using std::chrono::steady_clock;

// How soon a generation notices that its connection was closed.
constexpr std::chrono::milliseconds pollInterval {10};
constexpr std::size_t charsPerToken = 4;

std::size_t promptTokens(std::size_t chars)
{
    return (chars + charsPerToken - 1) / charsPerToken;
}

nlohmann::json toEvent(const PrefixCache::Change &change)
{
    return {{"type", change.stored ? "stored" : "evicted"},
            {"prefix_hash", change.prefixHash},
            {"prefix_chars", change.prefixChars}};
}

std::string serverSentEvent(const nlohmann::json &data)
{
    return "data: " + data.dump() + "\n\n";
}

} // namespace

struct FakeEngine::Generation
{
    CompletionRequest request;
    std::uint64_t logId = 0;
    std::int64_t tag = 0;
    std::size_t produced = 0;
    std::string text;                   // of a completion that is not streamed
    std::vector<std::int64_t> tokenIds; // of a completion that is not streamed

    nlohmann::json message(const std::string &tokenText, std::vector<std::int64_t> ids,
                           const nlohmann::json &finishReason) const
    {
        const nlohmann::json choice = {{"index", 0},
                                       {"text", tokenText},
                                       {"token_ids", std::move(ids)},
                                       {"finish_reason", finishReason}};
        return {{"id", "cmpl-" + std::to_string(logId)},
                {"object", "text_completion"},
                {"model", request.model},
                {"choices", {choice}}};
    }
};

FakeEngine::FakeEngine(EngineOptions options)
    : m_options(std::move(options))
    , m_registry(m_options)
    , m_tokens(m_options.seed, m_options.vary)
    , m_slots(m_options.slots, m_options.loadLag)
    , m_events(m_options.eventLag, m_options.eventLoss, m_options.seed)
    , m_cache(m_options.cacheBlocks, [this](const PrefixCache::Change &change) {
        m_events.add(steady_clock::now(), toEvent(change));
    })
{
}

void FakeEngine::handle(FakeExchange &exchange)
{
    const std::string path = exchange.path();
    if (path.starts_with("/fake/"))
        return control(exchange);
    m_faults.hang.pass();
    if (path == "/v1/completions" && exchange.method() == "POST")
        complete(exchange);
    else if (path.starts_with("/admin/") && exchange.method() == "POST")
        order(exchange);
    else if (exchange.method() == "GET")
        inspect(exchange);
}

void FakeEngine::control(FakeExchange &exchange)
{
    if (exchange.path() == "/fake/stats") {
        nlohmann::json stats = m_log.stats();
        stats["registry"] = m_registry.report();
        exchange.respond(200, stats);
    } else if (exchange.path() == "/fake/fault") {
        m_faults.apply(exchange.json());
        exchange.respond(200, nlohmann::json::object());
    }
}

void FakeEngine::inspect(FakeExchange &exchange)
{
    const std::string path = exchange.path();
    if (path == "/health")
        exchange.respond(200, {{"status", "ok"}});
    else if (path == "/load")
        exchange.respond(200, m_slots.load());
    else if (path == "/admin/state")
        exchange.respond(200, m_registry.report());
    else if (path == "/cache_events") {
        const std::uint64_t after = std::stoull(exchange.query("after", "0"));
        const std::lock_guard lock(m_cacheMutex);
        exchange.respond(200, m_events.after(steady_clock::now(), after));
    }
}

void FakeEngine::order(FakeExchange &exchange)
{
    const bool isLoad = exchange.path() == "/admin/load";
    if (!isLoad && exchange.path() != "/admin/role")
        return;
    const nlohmann::json body = exchange.json();
    const int status = isLoad ? m_registry.load(body) : m_registry.changeRole(body);
    exchange.respond(status, {{"admitted", status == 200}});
}

void FakeEngine::complete(FakeExchange &exchange)
{
    Generation generation;
    generation.request = CompletionRequest::parse(exchange.json());
    const CompletionRequest &request = generation.request;
    const std::string missing = m_registry.missingFor(request);
    if (!missing.empty())
        return exchange.respond(404, {{"error", {{"message", missing + " is not loaded"}}}});
    generation.tag = m_tokens.tagFor(request);
    generation.logId =
        m_log.start({{"promptHash", bodyHash(request.prompt)},
                     {"promptChars", request.prompt.size()},
                     {"model", request.model},
                     {"adapter", request.adapter},
                     {"version", request.version},
                     {"priority", request.priority},
                     {"maxTokens", request.maxTokens},
                     {"tag", generation.tag},
                     {"resumeTokens", request.resumeIds.size()},
                     {"resumeIsOnePrefix", TokenSource::isOnePrefix(request.resumeIds)},
                     {"state", "queued"},
                     {"produced", 0}});
    const BatchQueue::Ticket ticket = m_slots.enter(request.priority);
    if (m_slots.await(ticket, [&] { return isCancelled(exchange); }))
        run(exchange, generation);
    else
        cancel(exchange, generation);
    m_slots.leave(ticket);
}

void FakeEngine::run(FakeExchange &exchange, Generation &generation)
{
    if (!prefill(exchange, generation) || !decode(exchange, generation))
        return cancel(exchange, generation);
    m_log.count("finished", 1);
    m_log.update(generation.logId, {{"state", "finished"}, {"produced", generation.produced}});
    finish(exchange, generation);
}

void FakeEngine::cancel(FakeExchange &exchange, const Generation &generation)
{
    m_log.count("cancelled", 1);
    m_log.update(generation.logId, {{"state", "cancelled"}, {"produced", generation.produced}});
    exchange.close();
}

bool FakeEngine::prefill(FakeExchange &exchange, Generation &generation)
{
    const CompletionRequest &request = generation.request;
    std::size_t cachedChars = 0;
    {
        const std::lock_guard lock(m_cacheMutex);
        cachedChars = m_cache.cachedChars(request.prompt);
    }
    const std::size_t cached = promptTokens(cachedChars);
    const std::size_t computed =
        promptTokens(request.prompt.size() - cachedChars) + request.resumeIds.size();
    m_log.update(generation.logId,
                 {{"state", "prefill"}, {"cachedTokens", cached}, {"prefillTokens", computed}});
    if (!pauseUntil(exchange, steady_clock::now() + computed * m_options.prefillTimePerToken))
        return false;
    m_log.count("prefillTokensComputed", computed);
    m_log.count("prefillTokensCached", cached);
    const std::lock_guard lock(m_cacheMutex);
    m_cache.store(request.prompt);
    return true;
}

bool FakeEngine::decode(FakeExchange &exchange, Generation &generation)
{
    const CompletionRequest &request = generation.request;
    m_log.update(generation.logId, {{"state", "decode"}});
    if (request.stream)
        exchange.startStream("text/event-stream");
    TimePoint due = steady_clock::now();
    for (std::size_t index = request.resumeIds.size(); index < request.maxTokens; ++index) {
        due += tokenTime();
        if (!pauseUntil(exchange, due) || !sendToken(exchange, generation, index))
            return false;
        m_faults.tokenSent();
    }
    return true;
}

bool FakeEngine::sendToken(FakeExchange &exchange, Generation &generation, std::size_t index)
{
    const std::string text = TokenSource::tokenText(generation.tag, index);
    const std::int64_t id = TokenSource::tokenId(generation.tag, index);
    ++generation.produced;
    m_log.count("tokensProduced", 1);
    if (generation.request.stream)
        return exchange.write(serverSentEvent(generation.message(text, {id}, nullptr)))
            || m_faults.keepsSendingAfterCancel();
    generation.text += text;
    generation.tokenIds.push_back(id);
    return true;
}

void FakeEngine::finish(FakeExchange &exchange, const Generation &generation)
{
    const std::size_t prompt = promptTokens(generation.request.prompt.size());
    nlohmann::json last = generation.message(generation.text, generation.tokenIds, "length");
    last["usage"] = {{"prompt_tokens", prompt},
                     {"completion_tokens", generation.produced},
                     {"total_tokens", prompt + generation.produced}};
    if (!generation.request.stream)
        return exchange.respond(200, last);
    exchange.write(serverSentEvent(last));
    exchange.write("data: [DONE]\n\n");
    exchange.finishStream();
}

bool FakeEngine::isCancelled(FakeExchange &exchange)
{
    return exchange.peerClosed() && !m_faults.keepsSendingAfterCancel();
}

// False when the caller cancelled meanwhile. A hung engine stays here.
bool FakeEngine::pauseUntil(FakeExchange &exchange, TimePoint end)
{
    for (;;) {
        const TimePoint now = steady_clock::now();
        m_faults.hang.pass();
        if (isCancelled(exchange))
            return false;
        if (now >= end)
            return true;
        std::this_thread::sleep_until(std::min(end, now + pollInterval));
    }
}

Duration FakeEngine::tokenTime()
{
    const double others = static_cast<double>(m_slots.running()) - 1.0;
    const double factor = 1.0 + m_options.batchSlowdown * std::max(0.0, others);
    return std::chrono::duration_cast<Duration>(m_options.tokenTime * factor);
}

} // namespace foxtailring::fakes
