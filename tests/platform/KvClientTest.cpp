#include "KvClient.h"

#include "foxtailring/transport/Http1Stream.h"
#include "PlatformFixture.h"
#include "RawPeer.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace foxtailring;
using nlohmann::json;

class KvClientTest : public PlatformFixture
{
    CPPUNIT_TEST_SUITE(KvClientTest);
    CPPUNIT_TEST(rangeReadsAllPages);
    CPPUNIT_TEST(missingKeyIsAnEmptyRange);
    CPPUNIT_TEST(swapIsATransaction);
    CPPUNIT_TEST(refusedSwapReturnsTheCurrentValue);
    CPPUNIT_TEST(statusesAreMappedToErrorCodes);
    CPPUNIT_TEST(watchContinuesFromTheLastReply);
    CPPUNIT_TEST(watchAfterAReadWaitsForChanges);
    CPPUNIT_TEST(firstPartOfTheHistoryProvesNothing);
    CPPUNIT_TEST(smallPartOfTheHistoryProvesNothing);
    CPPUNIT_TEST(slowAnswerIsRead);
    CPPUNIT_TEST(endlessTransferEndsTheWatchAsStale);
    CPPUNIT_TEST(compactedHistoryEndsTheWatch);
    CPPUNIT_TEST(unansweredPollEndsTheWatch);
    CPPUNIT_TEST(leaseIsGrantedAndRenewed);
    CPPUNIT_TEST(pollAnsweredInAnotherEpochEndsTheWatch);
    CPPUNIT_TEST(pagesOfTwoEpochsAreNoResult);
    CPPUNIT_TEST(renewalInAnotherEpochFails);
    CPPUNIT_TEST(leasedWriteInAnotherEpochFails);
    CPPUNIT_TEST(revisionOfAnotherEpochFails);
    CPPUNIT_TEST(endlessRepliesAreAbandoned);
    CPPUNIT_TEST(slowEndlessReplyTimesOut);
    CPPUNIT_TEST(pageOfTheLargestValuesIsRead);
    CPPUNIT_TEST(changesOfTheLargestValuesAreReported);
    CPPUNIT_TEST(unreadableChangesEndTheWatchAsStale);
    CPPUNIT_TEST(pagesThatRepeatEndTheRead);
    CPPUNIT_TEST(pagesWithoutEndAreAbandoned);
    CPPUNIT_TEST(replyWithoutAStatusIsNoResult);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        PlatformFixture::setUp();
        m_client.emplace(*m_pool, *m_http, m_service, settings());
    }

    void tearDown() override
    {
        PlatformFixture::tearDown();
        m_client.reset();
    }

    // Pages are read one after the other; a watch has to continue from the first one's revision.
    void rangeReadsAllPages()
    {
        ResultMailbox<RangeResult> box;
        m_client->range("servers/", box.hook());
        const HttpRequest first = answer(
            R"({"items":[{"key":"servers/a b","value":"dg==","rev":4}],"has_more":true,"as_of":9})");
        CPPUNIT_ASSERT_EQUAL(std::string("/kv-range?path_prefix=servers/"), first.target);
        const HttpRequest second =
            answer(R"({"items":[{"key":"servers/c","value":"","rev":5}],"as_of":11})");
        CPPUNIT_ASSERT_EQUAL(std::string("/kv-range?path_prefix=servers/&after=servers/a%20b"),
                             second.target);
        const RangeResult range = box.take().value();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9), range.revision);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), range.pairs.size());
        CPPUNIT_ASSERT_EQUAL(std::string("v"), range.pairs.at(0).value);
    }

    void missingKeyIsAnEmptyRange()
    {
        ResultMailbox<RangeResult> box;
        m_client->get("k", box.hook());
        answer("{}", 404);
        CPPUNIT_ASSERT(box.take().value().pairs.empty());
    }

    void swapIsATransaction()
    {
        ResultMailbox<WriteResult> box;
        m_client->compareAndSwap("k", "v", {0, 0}, box.hook(), {0, 77});
        const HttpRequest request = answer(R"({"rev":412})");
        CPPUNIT_ASSERT_EQUAL(std::string("/kv-txn"), request.target);
        CPPUNIT_ASSERT(json::parse(request.body)
                       == json::parse(
                           R"({"expected_rev":[{"key":"k","rev":0}],
                "puts":[{"key":"k","value":"dg==","lease":77}],"remove":[]})"));
        const WriteResult result = box.take().value();
        CPPUNIT_ASSERT(result.applied);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(412), result.revision);
    }

    void refusedSwapReturnsTheCurrentValue()
    {
        ResultMailbox<WriteResult> box;
        m_client->compareAndSwap("k", "v", {0, 3}, box.hook(), {});
        answer(R"({"items":[{"key":"k","value":"dw==","rev":5}]})", 412);
        const WriteResult result = box.take().value();
        CPPUNIT_ASSERT(!result.applied);
        CPPUNIT_ASSERT_EQUAL(std::string("w"), result.current.value);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), result.current.modRevision);
    }

    // Guards against reporting a write as not executed although it may have taken effect.
    void statusesAreMappedToErrorCodes()
    {
        const std::pair<int, ErrorCode> cases[] = {{503, ErrorCode::Unavailable},
                                                   {429, ErrorCode::Overloaded},
                                                   {500, ErrorCode::Timeout},
                                                   {403, ErrorCode::InvalidArgument}};
        for (const auto &[status, code] : cases) {
            ResultMailbox<WriteResult> box;
            m_client->compareAndSwap("k", "v", {0, 0}, box.hook(), {});
            answer("", status);
            CPPUNIT_ASSERT(box.take().error().code == code);
        }
    }

    void watchContinuesFromTheLastReply()
    {
        const auto stream = startWatch();
        const HttpRequest first = answer(R"({"events":[{"key":"p/a","value":"dg==","rev":6},
            {"key":"p/b","rev":7,"removed":true}],"as_of":8})");
        CPPUNIT_ASSERT_EQUAL(std::string("/kv-watch?path_prefix=p/&after=4&wait_ms=1"),
                             first.target);
        const std::vector<WatchEvent> events = m_changes.take();
        CPPUNIT_ASSERT(!events.at(0).deleted && events.at(1).deleted);
        CPPUNIT_ASSERT_EQUAL(std::string("p/b"), events.at(1).pair.key);
        const HttpRequest second = answerPoll(R"({"events":[],"as_of":12})", 8);
        CPPUNIT_ASSERT(second.target.find("after=8&wait_ms=") != std::string::npos);
        m_confirmed.take();
        const HttpRequest third = answer(R"({"events":[],"as_of":12})");
        CPPUNIT_ASSERT(third.target.find("after=12&wait_ms=") != std::string::npos);
        const std::int64_t wait = std::stoll(third.target.substr(third.target.rfind('=') + 1));
        CPPUNIT_ASSERT(wait > 1 && wait <= std::chrono::milliseconds(testDeadline).count());
        stream->cancel();
    }

    // Guards against a call after each full read that only confirms it.
    void watchAfterAReadWaitsForChanges()
    {
        ResultMailbox<RangeResult> box;
        m_client->range("p/", box.hook());
        answer(R"({"items":[],"as_of":4})");
        CPPUNIT_ASSERT_EQUAL(std::int64_t(4), box.take().value().revision);
        const auto stream = startWatch();
        const HttpRequest first = answer("", 410);
        CPPUNIT_ASSERT(first.target.find("after=4&wait_ms=") != std::string::npos);
        CPPUNIT_ASSERT(!first.target.ends_with("wait_ms=1"));
        m_ends.take();
        const auto again = startWatch();
        CPPUNIT_ASSERT(answer("", 410).target.ends_with("wait_ms=1"));
        m_ends.take();
    }

    // Guards against keys that were taken away in a later part of the history than the one read.
    void firstPartOfTheHistoryProvesNothing()
    {
        const auto stream = startWatch();
        answer(json {{"events", {largestItem("p/a", 6)}}, {"as_of", 6}}.dump());
        m_changes.take();
        answer(R"({"items":[],"as_of":9})"); // the newest revision, asked for before the next part
        m_behind.take();
        answer(json {{"events", {largestItem("p/a", 9)}}, {"as_of", 9}}.dump());
        m_changes.take();
        m_confirmed.take();
        CPPUNIT_ASSERT(m_confirmed.isEmpty());
        stream->cancel();
    }

    void smallPartOfTheHistoryProvesNothing()
    {
        const auto stream = startWatch();
        answer(R"({"events":[{"key":"p/a","value":"dg==","rev":6}],"as_of":6})");
        answerPoll(R"({"events":[{"key":"p/a","value":"dg==","rev":7}],"as_of":7})", 9);
        m_behind.take();
        CPPUNIT_ASSERT(m_confirmed.isEmpty());
        answerPoll(R"({"events":[{"key":"p/a","value":"dg==","rev":9}],"as_of":9})", 9);
        m_confirmed.take();
        stream->cancel();
    }

    // Guards against a poll that is given up and asked for again while its large answer arrives.
    void slowAnswerIsRead()
    {
        platform::KvClient::Settings shortTimeouts = settings();
        shortTimeouts.pacing = {std::chrono::milliseconds(10), std::chrono::milliseconds(0)};
        shortTimeouts.pollTimeoutMargin = std::chrono::milliseconds(100);
        shortTimeouts.maxPollSilence = std::chrono::milliseconds(100);
        RawServer store;
        m_client.emplace(*m_pool, *m_http, Endpoint {"127.0.0.1", store.port()}, shortTimeouts);
        const auto stream = startWatch();
        RawPeer peer = store.accept();
        peer.readUntil("\r\n\r\n");
        const std::string body = R"({"events":[{"key":"p/a","value":"dg==","rev":6}],"as_of":6})";
        peer.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size())
                   + "\r\n\r\n");
        for (const char byte : body)
            CPPUNIT_ASSERT(peer.tryWrite(std::string(1, byte), std::chrono::milliseconds(5)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_changes.take().size());
        stream->cancel();
    }

    // Guards against asking again for a history that the link cannot carry.
    void endlessTransferEndsTheWatchAsStale()
    {
        platform::KvClient::Settings shortTimeouts = settings();
        shortTimeouts.pacing = {std::chrono::milliseconds(10), std::chrono::milliseconds(0)};
        shortTimeouts.pollTimeoutMargin = std::chrono::milliseconds(100);
        shortTimeouts.maxPollTransfer = std::chrono::milliseconds(200);
        RawServer store;
        m_client.emplace(*m_pool, *m_http, Endpoint {"127.0.0.1", store.port()}, shortTimeouts);
        const auto stream = startWatch();
        RawPeer peer = store.accept();
        peer.readUntil("\r\n\r\n");
        peer.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
        while (peer.tryWrite(" ", std::chrono::milliseconds(5))) { }
        CPPUNIT_ASSERT(m_ends.take() == ErrorCode::Stale);
    }

    void compactedHistoryEndsTheWatch()
    {
        const auto stream = startWatch();
        answer("", 410);
        CPPUNIT_ASSERT(m_ends.take() == ErrorCode::Stale);
    }

    // Guards against waiting forever on a connection that has gone silent.
    void unansweredPollEndsTheWatch()
    {
        platform::KvClient::Settings shortTimeouts = settings();
        shortTimeouts.pacing = {std::chrono::milliseconds(10), std::chrono::milliseconds(0)};
        shortTimeouts.pollTimeoutMargin = std::chrono::milliseconds(10);
        m_client.emplace(*m_pool, *m_http, m_service, shortTimeouts);
        const auto stream = startWatch();
        CPPUNIT_ASSERT(m_ends.take() == ErrorCode::Timeout);
    }

    void leaseIsGrantedAndRenewed()
    {
        ResultMailbox<StoreLease> granted;
        m_client->grantLease(std::chrono::seconds(3), granted.hook());
        const HttpRequest request = answer(R"({"lease":77120,"ttl_ms":3000})");
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"ttl_ms":3000})"), request.body);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(77120), granted.take().value().id);
        ResultMailbox<std::chrono::seconds> renewed;
        m_client->keepAlive({0, 77120}, renewed.hook());
        CPPUNIT_ASSERT_EQUAL(std::string("/kv-keep/77120"), answer(R"({"ttl_ms":2900})").target);
        CPPUNIT_ASSERT(renewed.take().value() == std::chrono::seconds(2));
    }

    // Guards against a watch that skips what a restored store wrote below its position.
    void pollAnsweredInAnotherEpochEndsTheWatch()
    {
        const auto stream = startWatch({1, 5});
        answerInEpoch("1", R"({"events":[],"as_of":8})");
        m_confirmed.take();
        answerInEpoch("2", R"({"events":[{"key":"p/a","value":"dg==","rev":9}],"as_of":9})");
        CPPUNIT_ASSERT(m_ends.take() == ErrorCode::Stale);
        CPPUNIT_ASSERT(m_changes.isEmpty() && m_confirmed.isEmpty());
    }

    // Guards against a list that is put together from a store before and after a restore.
    void pagesOfTwoEpochsAreNoResult()
    {
        for (const char *second : {"2", ""}) {
            ResultMailbox<RangeResult> box;
            m_client->range("s/", box.hook());
            answerInEpoch(
                "1", R"({"items":[{"key":"s/a","value":"","rev":4}],"has_more":true,"as_of":9})");
            answerInEpoch(second, R"({"items":[{"key":"s/b","value":"","rev":5}],"as_of":9})");
            CPPUNIT_ASSERT(box.take().error().code == ErrorCode::Stale);
        }
    }

    // Guards against renewing another process's lease, which was given the same id after a restore.
    void renewalInAnotherEpochFails()
    {
        ResultMailbox<StoreLease> granted;
        m_client->grantLease(std::chrono::seconds(3), granted.hook());
        answerInEpoch("4", R"({"lease":77,"ttl_ms":3000})");
        const StoreLease lease = granted.take().value();
        ResultMailbox<std::chrono::seconds> renewed;
        m_client->keepAlive(lease, renewed.hook());
        answerInEpoch("4", R"({"ttl_ms":3000})");
        CPPUNIT_ASSERT(renewed.take());
        m_client->keepAlive(lease, renewed.hook());
        answerInEpoch("5", R"({"ttl_ms":3000})");
        CPPUNIT_ASSERT(renewed.take().error().code == ErrorCode::Stale);
    }

    // Guards against relying on a key that was written under a lease of before a restore.
    void leasedWriteInAnotherEpochFails()
    {
        ResultMailbox<WriteResult> box;
        m_client->compareAndSwap("k", "v", {1, 3}, box.hook(), {1, 77});
        answerInEpoch("2", R"({"rev":412})");
        CPPUNIT_ASSERT(box.take().error().code == ErrorCode::Stale);
        m_client->compareAndSwap("k", "v", {1, 3}, box.hook(), {1, 77});
        m_requests.take().responder->respond(
            {412, {{"Store-Era", "2"}}, R"({"items":[{"key":"k","value":"dw==","rev":5}]})"});
        CPPUNIT_ASSERT(box.take().error().code == ErrorCode::Stale);
    }

    // Guards against relying on a write whose condition held by chance after a restore.
    void revisionOfAnotherEpochFails()
    {
        ResultMailbox<WriteResult> box;
        m_client->compareAndDelete("k", {1, 3}, box.hook());
        answerInEpoch("2", R"({"rev":412})");
        CPPUNIT_ASSERT(box.take().error().code == ErrorCode::Stale);
    }

    // Guards against a store that fills the memory with an answer that never ends.
    void endlessRepliesAreAbandoned()
    {
        const std::pair<std::string, std::string> shapes[] = {
            {"HTTP/1.1 200 OK\r\nX-Long: ", std::string(65536, 'x')},
            {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", std::string(65536, 'x')},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
             "10000\r\n" + std::string(65536, ' ') + "\r\n"},
            {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", std::string(65536, ' ')},
            {"HTTP/1.1 500 Error\r\nConnection: close\r\n\r\n", std::string(65536, ' ')},
            {"", "HTTP/1.1 103 Early Hints\r\n\r\n"}};
        for (const auto &[start, more] : shapes) {
            for (const auto &[name, begin] : calls()) {
                RawServer store;
                m_client.emplace(*m_pool, *m_http, Endpoint {"127.0.0.1", store.port()},
                                 settings());
                const auto outcome = std::make_shared<Mailbox<ErrorCode>>();
                const auto stream = begin(outcome);
                RawPeer peer = store.accept();
                peer.readUntil("\r\n\r\n");
                const std::size_t sent = sendUntilClosed(peer, start, more);
                const std::string text = std::string(name).append(" ").append(start);
                CPPUNIT_ASSERT_MESSAGE(text, sent < maxSentBytes);
                const ErrorCode expected =
                    name == "watch" ? ErrorCode::Stale : ErrorCode::Malformed;
                CPPUNIT_ASSERT_MESSAGE(text, outcome->take() == expected);
            }
        }
    }

    // Guards against a store whose bytes come too slowly to reach a limit of bytes.
    void slowEndlessReplyTimesOut()
    {
        platform::KvClient::Settings shortTimeouts = settings();
        shortTimeouts.timeout = std::chrono::milliseconds(100);
        shortTimeouts.pollTimeoutMargin = std::chrono::milliseconds(100);
        shortTimeouts.maxPollTransfer = std::chrono::milliseconds(100);
        for (const auto &[name, begin] : calls()) {
            RawServer store;
            m_client.emplace(*m_pool, *m_http, Endpoint {"127.0.0.1", store.port()}, shortTimeouts);
            const auto outcome = std::make_shared<Mailbox<ErrorCode>>();
            const auto stream = begin(outcome);
            RawPeer peer = store.accept();
            peer.readUntil("\r\n\r\n");
            peer.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
            while (peer.tryWrite(" ", std::chrono::milliseconds(5))) { }
            const ErrorCode expected = name == "watch" ? ErrorCode::Stale : ErrorCode::Timeout;
            CPPUNIT_ASSERT_MESSAGE(name, outcome->take() == expected);
        }
    }

    // Guards against a limit that rejects what the store may hold.
    void pageOfTheLargestValuesIsRead()
    {
        ResultMailbox<RangeResult> box;
        m_client->range("s/", box.hook());
        const json item = largestItem("s/a", 4);
        answer(json {{"items", {item, largestItem("s/b", 5)}}, {"as_of", 9}}.dump());
        const RangeResult read = box.take().value();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), read.pairs.size());
        CPPUNIT_ASSERT(read.pairs.back().value.size() == largestValueBytes);
        m_client->get("s/a", box.hook());
        answer(largestItem("s/a", 4).dump());
        CPPUNIT_ASSERT(box.take().value().pairs.front().value.size() == largestValueBytes);
        ResultMailbox<WriteResult> written;
        m_client->compareAndSwap("s/a", "v", {0, 3}, written.hook(), {});
        answer(json {{"items", {item}}}.dump(), 412);
        CPPUNIT_ASSERT(written.take().value().current.value.size() == largestValueBytes);
    }

    void changesOfTheLargestValuesAreReported()
    {
        const auto stream = startWatch();
        json events = json::array();
        for (int revision = 6; revision < 9; ++revision)
            events.push_back(largestItem("p/a", revision));
        answer(json {{"events", events}, {"as_of", 9}}.dump());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_changes.take().size());
        stream->cancel();
    }

    // Guards against a watch that asks for the same unreadable changes for ever.
    void unreadableChangesEndTheWatchAsStale()
    {
        const auto stream = startWatch();
        answer("[]");
        CPPUNIT_ASSERT(m_ends.take() == ErrorCode::Stale);
    }

    // Guards against a read that takes the same page again and again.
    void pagesThatRepeatEndTheRead()
    {
        ResultMailbox<RangeResult> box;
        m_client->range("s/", box.hook());
        const std::string page =
            R"({"items":[{"key":"s/a","value":"","rev":4}],"has_more":true,"as_of":9})";
        answer(page);
        answer(page);
        CPPUNIT_ASSERT(box.take().error().code == ErrorCode::Malformed);
    }

    // Guards against a read that fills the memory page by page, or never ends.
    void pagesWithoutEndAreAbandoned()
    {
        for (const bool isLarge : {true, false}) {
            ResultMailbox<RangeResult> box;
            m_client->range("s/", box.hook());
            int pages = 0;
            for (; pages < maxPages && box.isEmpty(); ++pages) {
                json item = isLarge ? largestItem("", 4) : json {{"rev", 4}};
                item["key"] = "s/" + std::to_string(100'000 + pages);
                answer(json {{"items", {item}}, {"has_more", true}, {"as_of", 9}}.dump());
                waitUntil([&] { return !m_requests.isEmpty() || !box.isEmpty(); });
            }
            CPPUNIT_ASSERT(!box.isEmpty());
            CPPUNIT_ASSERT(box.take().error().code == ErrorCode::Malformed);
            CPPUNIT_ASSERT(pages < (isLarge ? 64 : maxPages));
        }
    }

    // Guards against a reply whose status says nothing, or which a reset ends, and that counts as
    // a result or as a refusal that is certain.
    void replyWithoutAStatusIsNoResult()
    {
        const std::string body = R"({"rev":4,"as_of":9,"items":[],"lease":7,"ttl_ms":3000})";
        for (const std::string line : {"000 OK", "099 OK", "600 OK", "abc OK", "200 OK"}) {
            for (const auto &[name, begin] : calls()) {
                RawServer store;
                m_client.emplace(*m_pool, *m_http, Endpoint {"127.0.0.1", store.port()},
                                 settings());
                const auto outcome = std::make_shared<Mailbox<ErrorCode>>();
                const auto stream = begin(outcome);
                RawPeer peer = store.accept();
                peer.readUntil("\r\n\r\n");
                peer.write(std::string("HTTP/1.1 ")
                               .append(line)
                               .append("\r\nStore-Era: 0\r\n\r\n")
                               .append(body));
                peer.reset();
                const ErrorCode code = outcome->take();
                const std::string what = std::string(name).append(" ").append(line);
                CPPUNIT_ASSERT_MESSAGE(what, code != ErrorCode::Unavailable);
                CPPUNIT_ASSERT_MESSAGE(what, code != ErrorCode::Conflict);
            }
        }
    }

private:
    static constexpr std::size_t largestValueBytes = 1024 * 1024;
    static_assert(largestValueBytes % 3 == 1);
    static constexpr std::size_t maxSentBytes = 24 * 1024 * 1024;
    static constexpr int maxPages = 1000;

    using Outcome = std::shared_ptr<Mailbox<ErrorCode>>;
    using Call = std::function<std::shared_ptr<Http1Stream>(const Outcome &)>;

    template <typename T>
    static std::function<void(Result<T>)> errorHook(const Outcome &outcome)
    {
        return [outcome](const Result<T> &result) { outcome->put(result.error().code); };
    }

    std::vector<std::pair<std::string, Call>> calls()
    {
        return {{"get",
                 [this](const Outcome &to) {
                     m_client->get("k", errorHook<RangeResult>(to));
                     return nullptr;
                 }},
                {"range",
                 [this](const Outcome &to) {
                     m_client->range("k", errorHook<RangeResult>(to));
                     return nullptr;
                 }},
                {"swap",
                 [this](const Outcome &to) {
                     m_client->compareAndSwap("k", "v", {0, 0}, errorHook<WriteResult>(to), {});
                     return nullptr;
                 }},
                {"grant",
                 [this](const Outcome &to) {
                     m_client->grantLease(std::chrono::seconds(3), errorHook<StoreLease>(to));
                     return nullptr;
                 }},
                {"renew",
                 [this](const Outcome &to) {
                     m_client->keepAlive({0, 7}, errorHook<std::chrono::seconds>(to));
                     return nullptr;
                 }},
                {"watch", [this](const Outcome &to) {
                     WatchHooks hooks;
                     hooks.onChanges = [](std::span<const WatchEvent>, std::int64_t) {};
                     hooks.onEnded = [to](const Error &error) { to->put(error.code); };
                     return m_client->watch("p/", {0, 5}, std::move(hooks));
                 }}};
    }

    /// Returns the number of bytes sent, maxSentBytes at most, until the client closes.
    static std::size_t sendUntilClosed(RawPeer &peer, const std::string &start,
                                       const std::string &more)
    {
        std::size_t sent = start.size();
        peer.write(start);
        while (sent < maxSentBytes && peer.tryWrite(more, std::chrono::milliseconds(0)))
            sent += more.size();
        peer.close();
        return sent;
    }

    static json largestItem(const std::string &key, int revision)
    {
        // Base64 of zeros.
        std::string value((largestValueBytes + 2) / 3 * 4, 'A');
        value.replace(value.size() - 2, 2, "==");
        return {{"key", key}, {"value", value}, {"rev", revision}, {"as_of", 9}};
    }

    /// Answers the next poll and the question for the newest revision beside it; returns the poll.
    HttpRequest answerPoll(std::string body, std::int64_t newest)
    {
        PendingRequest poll = m_requests.take();
        PendingRequest question = m_requests.take();
        if (!poll.request.target.starts_with("/kv-watch"))
            std::swap(poll, question);
        CPPUNIT_ASSERT(question.request.target.starts_with("/kv-range"));
        const json revision {{"items", json::array()}, {"as_of", newest}};
        question.responder->respond({200, {}, revision.dump()});
        poll.responder->respond({200, {}, std::move(body)});
        return std::move(poll.request);
    }

    void answerInEpoch(const std::string &epoch, std::string body)
    {
        std::vector<HttpHeader> headers;
        if (!epoch.empty())
            headers.push_back({"Store-Era", epoch});
        m_requests.take().responder->respond({200, std::move(headers), std::move(body)});
    }

    static platform::KvClient::Settings settings()
    {
        platform::KvClient::Settings out;
        out.timeout = testDeadline;
        out.pacing = PollPacing(testDeadline, std::chrono::milliseconds(0));
        out.pollTimeoutMargin = testDeadline;
        return out;
    }

    std::shared_ptr<Http1Stream> startWatch(StoreRevision from = {0, 5})
    {
        WatchHooks hooks;
        hooks.onChanges = [this](std::span<const WatchEvent> events, std::int64_t) {
            m_changes.put({events.begin(), events.end()});
        };
        hooks.onConfirmed = [this](TimePoint) { m_confirmed.put(1); };
        hooks.onBehind = [this] { m_behind.put(1); };
        hooks.onEnded = [this](const Error &error) { m_ends.put(error.code); };
        return m_client->watch("p/", from, std::move(hooks));
    }

    std::optional<platform::KvClient> m_client;
    Mailbox<std::vector<WatchEvent>> m_changes;
    Mailbox<int> m_confirmed;
    Mailbox<int> m_behind;
    Mailbox<ErrorCode> m_ends;
};

CPPUNIT_TEST_SUITE_REGISTRATION(KvClientTest);
