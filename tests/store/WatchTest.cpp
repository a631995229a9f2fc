#include "foxtailring/store/EtcdClient.h"
#include "foxtailring/transport/Http1Stream.h"
#include "PlatformFixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace foxtailring;

namespace {

const std::string created = R"({"result":{"header":{"revision":"4"},"created":true}})"
                            "\n";
const std::string put = R"({"result":{"header":{"revision":"5"},"events":[
    {"kv":{"key":"aw==","value":"dg==","mod_revision":"5"}}]}})";

std::string line(std::string text)
{
    std::erase(text, '\n');
    return text + '\n';
}

} // namespace

class WatchTest : public PlatformFixture
{
    CPPUNIT_TEST_SUITE(WatchTest);
    CPPUNIT_TEST(changesSpanChunks);
    CPPUNIT_TEST(compactedStartIsStale);
    CPPUNIT_TEST(watchInAnotherEpochIsStale);
    CPPUNIT_TEST(endIsReportedOnce);
    CPPUNIT_TEST(disconnectReportsClosed);
    CPPUNIT_TEST(refusedWatchIsUnavailable);
    CPPUNIT_TEST(cancelDisconnectsFromService);
    CPPUNIT_TEST_SUITE_END();

public:
    void changesSpanChunks()
    {
        const PendingRequest pending = openWatch();
        CPPUNIT_ASSERT_EQUAL(std::string("/v3/watch"), pending.request.target);
        CPPUNIT_ASSERT(nlohmann::json::parse(pending.request.body)
                       == nlohmann::json::parse(R"({"create_request":
                           {"key":"YS8=","range_end":"YTA=","start_revision":"5"}})"));
        const std::string bytes = created + line(put) + line(R"({"result":{"header":
            {"revision":"7"},"events":[{"type":"DELETE","kv":{"key":"aw==","mod_revision":"6"}},
            {"kv":{"key":"bA==","mod_revision":"7"}}]}})");
        for (std::size_t at = 0; at < bytes.size(); at += 11)
            pending.responder->write(bytes.substr(at, 11));

        const Change first = m_changes.take();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), first.revision);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), first.events.size());
        CPPUNIT_ASSERT(!first.events[0].deleted);
        CPPUNIT_ASSERT_EQUAL(std::string("v"), first.events[0].pair.value);
        const Change second = m_changes.take();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), second.revision);
        CPPUNIT_ASSERT(second.events.at(0).deleted);
        CPPUNIT_ASSERT_EQUAL(std::string("k"), second.events[0].pair.key);
        CPPUNIT_ASSERT_EQUAL(std::string("l"), second.events.at(1).pair.key);
        CPPUNIT_ASSERT_EQUAL(std::string(), second.events[1].pair.value);
    }

    // Guards against missed changes: the service has already compacted them.
    void compactedStartIsStale()
    {
        openWatch().responder->write(created + line(R"({"result":{"header":{"revision":"90"},
            "canceled":true,"compact_revision":"50"}})"));
        CPPUNIT_ASSERT(m_ends.take() == ErrorCode::Stale);
    }

    // Guards against changes that are taken for those after a revision of before a restore.
    void watchInAnotherEpochIsStale()
    {
        openWatch().responder->write(line(R"({"result":{"header":{"cluster_id":"7",
            "revision":"90"},"created":true}})")
                                     + line(put));
        CPPUNIT_ASSERT(m_ends.take() == ErrorCode::Stale);
        CPPUNIT_ASSERT(m_changes.isEmpty());
    }

    void endIsReportedOnce()
    {
        const std::pair<const char *, ErrorCode> cases[] = {
            {R"({"result":{"header":{"revision":"9"},"canceled":true}})", ErrorCode::Closed},
            {R"({"error":{"message":"no"}})", ErrorCode::Malformed},
            {R"({"result":{"events":[{"kv":{"key":"aw==","mod_revision":"5"}}]}})",
             ErrorCode::Malformed},
            {R"({"result":{"header":{"revision":"9"},"events":[{}]}})", ErrorCode::Malformed},
            {R"({"result":{"header":{"revision":"9"},"events":[{"kv":{}}]}})",
             ErrorCode::Malformed},
            {R"({"result":{"header":)", ErrorCode::Malformed},
            {"nonsense", ErrorCode::Malformed}};
        for (const auto &[text, expected] : cases) {
            const PendingRequest pending = openWatch();
            pending.responder->write(line(text) + line(put));
            pending.responder->finish();
            CPPUNIT_ASSERT_MESSAGE(text, m_ends.take() == expected);
        }
        CPPUNIT_ASSERT(m_ends.isEmpty());
        CPPUNIT_ASSERT(m_changes.isEmpty());
    }

    void disconnectReportsClosed()
    {
        openWatch().responder->write(created + line(put) + put.substr(0, 40));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), m_changes.take().revision);
        CPPUNIT_ASSERT(m_ends.take() == ErrorCode::Closed);
    }

    void refusedWatchIsUnavailable()
    {
        m_stream = startWatch();
        answer("busy", 503);
        CPPUNIT_ASSERT(m_ends.take() == ErrorCode::Unavailable);
    }

    void cancelDisconnectsFromService()
    {
        const PendingRequest pending = openWatch();
        const auto disconnected = std::make_shared<Mailbox<int>>();
        pending.responder->onDisconnect([disconnected] { disconnected->put(1); });
        m_stream->cancel();
        CPPUNIT_ASSERT(m_ends.take() == ErrorCode::Closed);
        disconnected->take();
    }

private:
    struct Change
    {
        std::vector<WatchEvent> events;
        std::int64_t revision;
    };

    std::shared_ptr<Http1Stream> startWatch()
    {
        EtcdClient client(*m_http, m_service);
        WatchHooks hooks;
        hooks.onChanges = [this](std::span<const WatchEvent> events, std::int64_t revision) {
            m_changes.put({{events.begin(), events.end()}, revision});
        };
        hooks.onEnded = [this](const Error &error) { m_ends.put(error.code); };
        return client.watch("a/", {0, 5}, std::move(hooks));
    }

    PendingRequest openWatch()
    {
        m_stream = startWatch();
        PendingRequest pending = m_requests.take();
        pending.responder->startStream(200, {});
        return pending;
    }

    Mailbox<Change> m_changes;
    Mailbox<ErrorCode> m_ends;
    std::shared_ptr<Http1Stream> m_stream;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WatchTest);
