#include "EntryFixture.h"

#include "foxtailring/decisions/configuration/StoredResource.h"
#include "foxtailring/protocol/ConfigUpdate.h"
#include "foxtailring/transport/Endpoint.h"

#include <cppunit/TestAssert.h>
#include <future>
#include <thread>

namespace foxtailring::test {

namespace {

using std::chrono::milliseconds;

constexpr std::chrono::seconds deadline {20};
// SHA-256 of "key-a" and "key-b".
constexpr const char *hashOfKeyA =
    "f10f781241e2246678b6b45c857069208152a53863e47fac33f607ab405006f4";
constexpr const char *hashOfKeyB =
    "a30534a53b23547377ddccbd1ac85a8a84c13db43493c16e55a6abc7b0eba634";

ResourceDelta resource(const std::string &kind, const std::string &name, const std::string &spec)
{
    const StoredResource stored {kind, name, 1, "test", "change", spec};
    return {kind, name, 1, stored.toJson(), false};
}

std::string accountSpec(const std::string &hash)
{
    return R"({"keySha256":")" + hash + R"("})";
}

ConfigUpdate configuration()
{
    ConfigUpdate out;
    out.revision = 1;
    out.resources = {
        resource("Model", "m", R"({"versions":["1"]})"),
        resource("Adapter", "ad", R"({"model":"m"})"),
        resource("Service", "lector", R"({"type":"generation","models":["m"]})"),
        resource("Service", "registro",
                 R"({"type":"plain","nonIdempotent":[{"method":"POST","pathPrefix":"/locks"}]})"),
        resource("ClientAccount", "a", accountSpec(hashOfKeyA)),
        resource("ClientAccount", "b",
                 R"({"services":["lector"],"keySha256":")" + std::string(hashOfKeyB) + "\"}"),
    };
    return out;
}

} // namespace

EntryFixture::EntryFixture(std::size_t sidecarCount, const std::string &service,
                           milliseconds drainLimit, milliseconds suspectAfter)
    : m_service(service)
    , m_drainLimit(drainLimit)
    , m_suspectAfter(suspectAfter)
    , m_pool(2)
    , m_client(m_pool)
{
    for (std::size_t i = 0; i < sidecarCount; ++i)
        m_sidecars.push_back(
            std::make_unique<FakeSidecar>(std::string(1, static_cast<char>('p' + i)), service));
    addEntry();
}

EntrySettings EntryFixture::settings(const std::string &id)
{
    EntrySettings out;
    out.nodeId = id;
    out.region = "asturias";
    out.availabilityZone = "oviedo-a";
    out.listen = {"127.0.0.1", 0};
    out.admin = {"127.0.0.1", 0};
    out.platform = {"127.0.0.1", 1};
    out.secret = "a secret of the tests";
    out.threads = 2;
    out.drainDelay = milliseconds(100);
    out.finalAckDelay = milliseconds(50);
    return out;
}

EntryFixture::~EntryFixture()
{
    m_entries.clear();
    m_sidecars.clear();
    m_pool.stop();
}

std::uint16_t EntryFixture::addEntry()
{
    EntrySettings own = settings("entry-" + std::to_string(m_ports.size()));
    own.drainLimit = m_drainLimit;
    own.session.liveness.suspectAfter = m_suspectAfter;
    auto made = std::make_unique<EntryNode>(std::move(own));
    const auto ports = made->listen();
    CPPUNIT_ASSERT(ports.isOk());
    CPPUNIT_ASSERT(made->applyConfig(configuration()).isOk());
    MemberList members;
    for (const auto &sidecar : m_sidecars)
        members.servers.push_back(
            {{sidecar->id(), m_service, sidecar->address(), "asturias", "oviedo-a"}, false});
    made->applyMembers(members);
    m_ports.push_back(ports.value());
    m_entries.push_back(std::move(made));
    // The first report of every sidecar has arrived.
    waitUntil([this] {
        const std::string status = m_entries.back()->statusJson();
        std::size_t reports = 0;
        for (auto at = status.find("reportAgeMs"); at != std::string::npos;
             at = status.find("reportAgeMs", at + 1))
            ++reports;
        return reports == m_sidecars.size();
    });
    return ports.value().callers;
}

void EntryFixture::setScripts(FakeSidecar::Script script)
{
    for (const auto &sidecar : m_sidecars)
        sidecar->setScript(script);
}

HttpResponse EntryFixture::request(HttpRequest request, std::uint16_t port)
{
    std::promise<Result<HttpResponse>> promise;
    const Endpoint endpoint {"127.0.0.1", port ? port : this->port()};
    m_client.request(endpoint, std::move(request), deadline,
                     [&](Result<HttpResponse> result) { promise.set_value(std::move(result)); });
    const auto result = promise.get_future().get();
    CPPUNIT_ASSERT_MESSAGE(result ? "" : result.error().message, result.isOk());
    return result.value();
}

HttpResponse EntryFixture::post(const std::string &path, const std::string &body,
                                std::vector<HttpHeader> headers, std::uint16_t port)
{
    headers.push_back({"Authorization", "Bearer key-a"});
    return request({"POST", path, std::move(headers), body}, port);
}

std::shared_ptr<SseReader> EntryFixture::stream(const std::string &body,
                                                std::vector<HttpHeader> headers, std::uint16_t port)
{
    auto reader = std::make_shared<SseReader>();
    headers.push_back({"Authorization", "Bearer key-a"});
    const Endpoint endpoint {"127.0.0.1", port ? port : this->port()};
    reader->setHandle(
        m_client.stream(endpoint, {"POST", "/v1/completions", std::move(headers), body},
                        {[reader](const HttpResponse &head) { reader->head(head); },
                         [reader](std::string_view bytes) { reader->body(bytes); },
                         [reader](const Result<Done> &result) { reader->closed(result); }}));
    return reader;
}

void EntryFixture::waitUntil(const std::function<bool()> &done)
{
    const auto giveUp = std::chrono::steady_clock::now() + deadline;
    while (!done()) {
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() < giveUp);
        std::this_thread::sleep_for(milliseconds(2));
    }
}

std::string EntryFixture::answer(const std::string &tag, std::size_t tokens, std::size_t from)
{
    std::string out;
    for (std::size_t i = from; i < tokens; ++i)
        out += tag + '.' + std::to_string(i) + ' ';
    return out;
}

} // namespace foxtailring::test
