#include "TestEngine.h"

#include <cppunit/TestAssert.h>

using namespace foxtailring;

namespace {

std::string event(const nlohmann::json &choice)
{
    return "data: " + nlohmann::json {{"choices", {choice}}}.dump() + "\n\n";
}

} // namespace

void TestCompletion::sendToken(std::int64_t id, const std::string &text) const
{
    responder->write(event({{"text", text}, {"token_ids", {id}}, {"finish_reason", nullptr}}));
}

void TestCompletion::sendFinish(const std::string &reason) const
{
    responder->write(
        event({{"text", ""}, {"token_ids", nlohmann::json::array()}, {"finish_reason", reason}}));
    responder->write("data: [DONE]\n\n");
    responder->finish();
}

// Shared with hooks, which may run on a worker thread after the TestEngine is gone.
struct TestEngine::Shared : std::enable_shared_from_this<TestEngine::Shared>
{
    void handle(HttpRequest request, const std::shared_ptr<Http1Responder> &responder);
    TestCompletion at(const std::vector<TestCompletion> &list, std::size_t index);

    Waiting waiting; // guards all below
    std::vector<TestCompletion> completions;
    std::vector<TestCompletion> calls;
    std::vector<std::shared_ptr<Http1Responder>> unanswered;
    std::size_t cancelled = 0;
    bool down = false;
    std::size_t closed = 0; ///< requests without an answer since setDown()
    bool healthy = true;
    std::string load = R"({"running":0,"waiting":0,"capacity":8})";
    std::string cacheEvents = R"({"events":[],"last":0})";
};

TestEngine::TestEngine(WorkerPool &pool)
    : m_shared(std::make_shared<Shared>())
    , m_server(pool, Endpoint {"127.0.0.1", 0}, {},
               [shared = m_shared](HttpRequest request,
                                   const std::shared_ptr<Http1Responder> &responder) {
                   shared->handle(std::move(request), responder);
               })
    , m_endpoint {"127.0.0.1", m_server.listen().value()}
{
}

// Responders lead back to the server through their hooks.
TestEngine::~TestEngine()
{
    m_server.close();
    m_shared->waiting.change([&] {
        m_shared->completions.clear();
        m_shared->calls.clear();
        m_shared->unanswered.clear();
    });
}

void TestEngine::Shared::handle(HttpRequest request,
                                const std::shared_ptr<Http1Responder> &responder)
{
    const auto json = [](std::string body) { return HttpResponse {200, {}, std::move(body)}; };
    bool isDown = false;
    waiting.change([&] {
        isDown = down;
        closed += down ? 1 : 0;
    });
    if (isDown)
        return responder->abort();
    if (request.target == "/v1/completions") {
        responder->onDisconnect([weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->waiting.change([&] { ++self->cancelled; });
        });
        responder->startStream(200, {{"Content-Type", "text/event-stream"}});
        waiting.change([&] {
            auto body = nlohmann::json::parse(request.body);
            completions.push_back({std::move(request), std::move(body), responder});
        });
    } else if (request.target == "/health") {
        bool answers = true;
        waiting.change([&] {
            answers = healthy;
            unanswered.push_back(responder);
        });
        if (answers)
            responder->respond(json("{}"));
    } else if (request.target == "/load") {
        std::string body;
        waiting.change([&] { body = load; });
        responder->respond(json(body));
    } else if (request.target.starts_with("/cache_events")) {
        std::string body;
        waiting.change([&] { body = cacheEvents; });
        responder->respond(json(body));
    } else {
        waiting.change([&] { calls.push_back({std::move(request), {}, responder}); });
    }
}

TestCompletion TestEngine::Shared::at(const std::vector<TestCompletion> &list, std::size_t index)
{
    TestCompletion found;
    CPPUNIT_ASSERT(waiting.until([&] {
        if (list.size() <= index)
            return false;
        found = list[index];
        return true;
    }));
    return found;
}

TestCompletion TestEngine::completion(std::size_t index)
{
    return m_shared->at(m_shared->completions, index);
}

TestCompletion TestEngine::call(std::size_t index)
{
    return m_shared->at(m_shared->calls, index);
}

std::size_t TestEngine::callCount()
{
    std::size_t count = 0;
    m_shared->waiting.change([&] { count = m_shared->calls.size(); });
    return count;
}

std::size_t TestEngine::completionCount()
{
    std::size_t count = 0;
    m_shared->waiting.change([&] { count = m_shared->completions.size(); });
    return count;
}

bool TestEngine::waitForCancelled(std::size_t count)
{
    return m_shared->waiting.until([&] { return m_shared->cancelled >= count; });
}

void TestEngine::setHealthy(bool healthy)
{
    m_shared->waiting.change([&] { m_shared->healthy = healthy; });
}

void TestEngine::setDown(bool down)
{
    m_shared->waiting.change([&] {
        m_shared->down = down;
        m_shared->closed = 0;
    });
}

bool TestEngine::waitForClosed() const
{
    return m_shared->waiting.until([&] { return m_shared->closed > 0; });
}

void TestEngine::setLoad(const std::string &json)
{
    m_shared->waiting.change([&] { m_shared->load = json; });
}

void TestEngine::setCacheEvents(const std::string &json)
{
    m_shared->waiting.change([&] { m_shared->cacheEvents = json; });
}

void TestEngine::close()
{
    m_server.close();
}
