#include "KeyValueGateway.h"

#include "FakeExchange.h"
#include "GatewayCodec.h"

#include <set>

namespace foxtailring::fakes {

namespace {

using nlohmann::json;
using std::chrono::steady_clock;

// How soon a watch notices a fault or a closed connection.
constexpr std::chrono::milliseconds watchPollInterval {20};
const std::string prefix = "/v3/";

CallMeter::Class classOf(const std::string &kind)
{
    if (kind == "kv/range")
        return CallMeter::Class::Read;
    return kind == "watch" ? CallMeter::Class::Other : CallMeter::Class::Write;
}

std::string resultLine(const json &result)
{
    return json {{"result", result}}.dump() + '\n';
}

} // namespace

KeyValueGateway::KeyValueGateway(std::size_t historyEvents, PlatformFaults &faults)
    : m_faults(faults)
    , m_store(historyEvents)
{
}

void KeyValueGateway::handle(FakeExchange &exchange)
{
    const std::string kind = exchange.path().substr(prefix.size());
    {
        const std::lock_guard lock(m_mutex);
        m_meter.add(kind, classOf(kind), steady_clock::now());
    }
    if (!m_faults.admit())
        return exchange.close();
    if (kind == "watch")
        return watch(exchange);
    const Answer answer = execute(kind, exchange.json());
    if (answer && classOf(kind) == CallMeter::Class::Write && m_faults.losesReply())
        exchange.close();
    else if (answer)
        exchange.respond(200, answer.value());
    else
        exchange.respond(errorStatus(answer.error()), errorJson(answer.error()));
}

void KeyValueGateway::countOther(const std::string &kind)
{
    const std::lock_guard lock(m_mutex);
    m_meter.add(kind, CallMeter::Class::Other, steady_clock::now());
}

void KeyValueGateway::expireLeases()
{
    {
        const std::lock_guard lock(m_mutex);
        m_store.expire(steady_clock::now());
    }
    m_changed.notify_all();
}

json KeyValueGateway::stats()
{
    const std::lock_guard lock(m_mutex);
    json stats = m_meter.stats();
    stats["revision"] = m_store.revision();
    return stats;
}

KeyValueGateway::Answer KeyValueGateway::execute(const std::string &kind, const json &request)
{
    const std::lock_guard lock(m_mutex);
    m_store.expire(steady_clock::now());
    if (kind == "kv/range")
        return apply(parseRange(request));
    if (kind == "kv/put")
        return apply(parsePut(request));
    if (kind == "kv/deleterange")
        return apply(DeleteRequest {parseKeyRange(request)});
    if (kind == "kv/txn")
        return transact(request);
    if (kind == "kv/compaction")
        return compact(request);
    if (kind == "lease/grant")
        return grant(request);
    if (kind == "lease/keepalive")
        return keepAlive(request);
    if (kind == "lease/revoke" || kind == "kv/lease/revoke")
        return revoke(request);
    return {ErrorCode::NotFound, "unknown call " + kind};
}

KeyValueGateway::Answer KeyValueGateway::apply(const StoreOperation &operation)
{
    const Result<TxnReply> reply = m_store.apply(operation);
    m_changed.notify_all();
    if (!reply)
        return reply.error();
    return replyJson(reply.value().replies.front(), reply.value().revision);
}

KeyValueGateway::Answer KeyValueGateway::transact(const json &request)
{
    const Result<TxnReply> reply = m_store.transact(parseTxn(request));
    m_changed.notify_all();
    if (!reply)
        return reply.error();
    return txnJson(reply.value());
}

KeyValueGateway::Answer KeyValueGateway::grant(const json &request)
{
    const std::chrono::seconds timeToLive(std::max<std::int64_t>(1, integerMember(request, "TTL")));
    const auto id = m_store.grant(integerMember(request, "ID"), timeToLive, steady_clock::now());
    if (!id)
        return id.error();
    return json {{"header", headerJson(m_store.revision())},
                 {"ID", std::to_string(id.value())},
                 {"TTL", std::to_string(timeToLive.count())}};
}

KeyValueGateway::Answer KeyValueGateway::keepAlive(const json &request)
{
    const std::int64_t id = integerMember(request, "ID");
    const auto left = m_store.keepAlive(id, steady_clock::now());
    json result = {{"header", headerJson(m_store.revision())}, {"ID", std::to_string(id)}};
    // As in etcd, a keep-alive of an unknown lease is answered without a TTL.
    if (left)
        result["TTL"] =
            std::to_string(std::chrono::duration_cast<std::chrono::seconds>(left.value()).count());
    return json {{"result", result}};
}

KeyValueGateway::Answer KeyValueGateway::revoke(const json &request)
{
    const Result<Done> revoked = m_store.revoke(integerMember(request, "ID"));
    m_changed.notify_all();
    if (!revoked)
        return revoked.error();
    return json {{"header", headerJson(m_store.revision())}};
}

KeyValueGateway::Answer KeyValueGateway::compact(const json &request)
{
    m_store.compact(integerMember(request, "revision"));
    return json {{"header", headerJson(m_store.revision())}};
}

void KeyValueGateway::watch(FakeExchange &exchange)
{
    const json body = exchange.json();
    const json &request =
        body.at(body.contains("createRequest") ? "createRequest" : "create_request");
    const KeyRange range = parseKeyRange(request);
    std::int64_t next = integerMember(request, "start_revision");
    json created = {{"created", true}};
    {
        const std::lock_guard lock(m_mutex);
        if (next == 0)
            next = m_store.revision() + 1;
        created["header"] = headerJson(m_store.revision());
        m_meter.watchOpened();
    }
    exchange.startStream("application/json");
    exchange.write(resultLine(created));
    while (sendChanges(exchange, range, next)) { }
    const std::lock_guard lock(m_mutex);
    m_meter.watchClosed();
}

// Waits shortly for changes and sends them; false when the watch has ended.
bool KeyValueGateway::sendChanges(FakeExchange &exchange, const KeyRange &range, std::int64_t &next)
{
    if (exchange.peerClosed() || m_faults.closesConnections()) {
        exchange.close();
        return false;
    }
    std::unique_lock lock(m_mutex);
    if (m_store.revision() < next || m_faults.watchesAreSilent())
        m_changed.wait_for(lock, watchPollInterval);
    if (m_faults.watchesAreSilent())
        return true;
    const KeyValueStore::Changes changes = m_store.changesFrom(next, range);
    const std::int64_t revision = m_store.revision();
    lock.unlock();

    json result = {{"header", headerJson(revision)}};
    if (changes.compactRevision > 0) {
        result["canceled"] = true;
        result["compact_revision"] = std::to_string(changes.compactRevision);
        exchange.write(resultLine(result));
        exchange.finishStream();
        return false;
    }
    next = std::max(next, revision + 1);
    if (changes.events.empty())
        return true;
    for (const StoreEvent &event : changes.events)
        result["events"].push_back(eventJson(event));
    return exchange.write(resultLine(result));
}

} // namespace foxtailring::fakes
