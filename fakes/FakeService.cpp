#include "FakeService.h"

#include "FakeExchange.h"
#include "FaultMembers.h"
#include "foxtailring/protocol/KeyHash.h"

#include <thread>

namespace foxtailring::fakes {

namespace {

constexpr const char *fencingHeader = "X-Fencing-Token";

} // namespace

FakeService::FakeService(ServiceOptions options)
    : m_options(std::move(options))
    , m_fencing(m_options.checkFencing)
    , m_slots(m_options.slots, m_options.loadLag)
{
}

void FakeService::handle(FakeExchange &exchange)
{
    const std::string path = exchange.path();
    if (path.starts_with("/fake/"))
        return control(exchange);
    m_hang.pass();
    if (path == "/health")
        return exchange.respond(200, {{"status", "ok"}});
    if (path == "/load")
        return exchange.respond(200, m_slots.load());
    call(exchange);
}

void FakeService::control(FakeExchange &exchange)
{
    if (exchange.path() == "/fake/log") {
        const std::lock_guard lock(m_mutex);
        exchange.respond(200, {{"calls", m_log}});
    } else if (exchange.path() == "/fake/fault") {
        applyFaults(exchange.json());
        exchange.respond(200, nlohmann::json::object());
    }
}

void FakeService::applyFaults(const nlohmann::json &faults)
{
    checkFaultMembers(faults, {"hang", "dropReplyNext", "failNext"});
    if (faults.contains("hang"))
        m_hang.set(faults["hang"].get<bool>());
    const std::lock_guard lock(m_mutex);
    m_dropReplies = faults.value("dropReplyNext", m_dropReplies);
    m_failures = faults.value("failNext", m_failures);
}

void FakeService::call(FakeExchange &exchange)
{
    const BatchQueue::Ticket ticket = m_slots.enter(0);
    const bool admitted = m_slots.await(ticket, [&] { return exchange.peerClosed(); });
    if (admitted)
        std::this_thread::sleep_for(m_options.delay);
    m_hang.pass();
    std::unique_lock lock(m_mutex);
    const bool fails = admitted && takeOne(m_failures);
    const bool fenced = admitted && !fails && isFenced(exchange);
    const bool executes = admitted && !fails && !fenced;
    const nlohmann::json answer = executes ? execute(exchange) : nlohmann::json();
    const bool dropsReply = !admitted || (executes && takeOne(m_dropReplies));
    lock.unlock();
    m_slots.leave(ticket);

    if (dropsReply)
        exchange.close();
    else if (fails)
        exchange.respond(500, {{"error", "injected failure; the call was not executed"}});
    else if (fenced)
        exchange.respond(412, {{"error", std::string(fencingHeader) + " is stale"}});
    else
        exchange.respond(200, answer);
}

bool FakeService::isFenced(const FakeExchange &exchange)
{
    const std::string token = exchange.header(fencingHeader);
    return !token.empty() && !m_fencing.admit(std::stoull(token));
}

nlohmann::json FakeService::execute(const FakeExchange &exchange)
{
    const std::string method = exchange.method();
    m_log.push_back({{"method", method},
                     {"target", exchange.target()},
                     {"idempotencyKey", exchange.header("Idempotency-Key")},
                     {"fencing", exchange.header(fencingHeader)},
                     {"bodyHash", bodyHash(exchange.body())}});
    if (method == "GET")
        return {{"server", m_options.name}, {"register", m_register}};
    if (method == "POST" || method == "PUT")
        m_register.push_back({{"target", exchange.target()}, {"body", exchange.body()}});
    return {{"server", m_options.name},
            {"target", exchange.target()},
            {"position", m_register.size()},
            {"bodyHash", bodyHash(exchange.body())}};
}

bool FakeService::takeOne(int &left)
{
    if (left <= 0)
        return false;
    --left;
    return true;
}

} // namespace foxtailring::fakes
