#include "TestPlatform.h"

#include "foxtailring/decisions/configuration/StoredResource.h"
#include "foxtailring/transport/Endpoint.h"

#include <chrono>
#include <cppunit/TestAssert.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace foxtailring::test {

namespace {

constexpr std::chrono::seconds settleWithin {20};

std::string base64(const std::string &text)
{
    std::string out((text.size() + 2) / 3 * 4 + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                                     reinterpret_cast<const unsigned char *>(text.data()),
                                     static_cast<int>(text.size()));
    out.resize(static_cast<std::size_t>(size));
    return out;
}

nlohmann::json pair(const std::string &key, const std::string &value, std::int64_t revision)
{
    return {
        {"key", base64(key)}, {"value", base64(value)}, {"mod_revision", std::to_string(revision)}};
}

} // namespace

TestPlatform::TestPlatform()
    : m_pool(1)
    , m_server(std::make_unique<Http1Server>(
          m_pool, Endpoint {"127.0.0.1", 0}, HttpLimits {},
          [this](const HttpRequest &request, const std::shared_ptr<Http1Responder> &responder) {
              handle(request, responder);
          }))
{
    const auto port = m_server->listen();
    CPPUNIT_ASSERT(port.isOk());
    m_port = port.value();
    m_changes.push_back({1, "/other", ""});
}

TestPlatform::~TestPlatform()
{
    m_server->close();
    m_pool.stop();
}

std::int64_t TestPlatform::put(const std::string &kind, const std::string &name,
                               const std::string &spec)
{
    const std::lock_guard lock(m_mutex);
    const std::int64_t revision = m_changes.back().revision + 1;
    const StoredResource stored {kind, name, revision, "test", "change", spec};
    m_changes.push_back({revision, "/foxtailring/resources/" + kind + '/' + name, stored.toJson()});
    for (const auto &watch : m_watches)
        watch->write(eventLine(m_changes.back()));
    return revision;
}

void TestPlatform::setVms(std::string json)
{
    const std::lock_guard lock(m_mutex);
    m_vms = std::move(json);
}

void TestPlatform::setDown(bool down)
{
    const std::lock_guard lock(m_mutex);
    m_down = down;
}

void TestPlatform::silenceWatches()
{
    const std::lock_guard lock(m_mutex);
    m_watches.clear();
}

void TestPlatform::compact(std::int64_t revision)
{
    const std::lock_guard lock(m_mutex);
    m_compacted = revision;
    for (const auto &watch : m_watches)
        watch->abort();
    m_watches.clear();
}

void TestPlatform::restore(std::int64_t revision)
{
    const std::lock_guard lock(m_mutex);
    ++m_epoch;
    while (m_changes.back().revision > revision)
        m_changes.pop_back();
    for (const auto &watch : m_watches)
        watch->abort();
    m_watches.clear();
}

bool TestPlatform::wait(const std::function<bool()> &done)
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, settleWithin, done);
}

void TestPlatform::handle(const HttpRequest &request,
                          const std::shared_ptr<Http1Responder> &responder)
{
    const std::lock_guard lock(m_mutex);
    polls += request.target == "/v1/vms" ? 1 : 0;
    reads += request.target == "/v3/kv/range" ? 1 : 0;
    m_changed.notify_all();
    if (m_down)
        return responder->respond({503, {}, "{}"});
    if (request.target == "/v1/vms")
        return responder->respond({200, {}, m_vms});
    if (request.target == "/v3/kv/range")
        return range(*responder);
    watch(request.body, responder);
}

void TestPlatform::range(Http1Responder &responder)
{
    std::map<std::string, Change> latest;
    for (const Change &change : m_changes)
        latest[change.key] = change;
    nlohmann::json pairs = nlohmann::json::array();
    for (const auto &[key, change] : latest) {
        if (key != "/other")
            pairs.push_back(pair(key, change.value, change.revision));
    }
    const nlohmann::json body {{"header", header()}, {"kvs", std::move(pairs)}};
    responder.respond({200, {}, body.dump()});
}

void TestPlatform::watch(const std::string &body, const std::shared_ptr<Http1Responder> &responder)
{
    const auto json = nlohmann::json::parse(body);
    const auto from = std::stoll(json.at("create_request").at("start_revision").get<std::string>());
    responder->startStream(200, {});
    const nlohmann::json created {{"result", {{"header", header()}, {"created", true}}}};
    responder->write(created.dump() + '\n');
    if (from < m_compacted) {
        const nlohmann::json line {{"result",
                                    {{"header", header()},
                                     {"canceled", true},
                                     {"compact_revision", std::to_string(m_compacted)}}}};
        responder->write(line.dump() + '\n');
        return responder->finish();
    }
    for (const Change &change : m_changes) {
        if (change.revision >= from && change.key != "/other")
            responder->write(eventLine(change));
    }
    m_watches.push_back(responder);
}

nlohmann::json TestPlatform::header() const
{
    return {{"cluster_id", std::to_string(m_epoch)},
            {"revision", std::to_string(m_changes.back().revision)}};
}

std::string TestPlatform::eventLine(const Change &change) const
{
    // The header names the revision of the service, which may be ahead of the change.
    const nlohmann::json line {
        {"result",
         {{"header", header()},
          {"events",
           nlohmann::json::array({{{"kv", pair(change.key, change.value, change.revision)}}})}}}};
    return line.dump() + '\n';
}

} // namespace foxtailring::test
