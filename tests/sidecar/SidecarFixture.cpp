#include "SidecarFixture.h"

using namespace foxtailring;

void SidecarFixture::setUp()
{
    m_pool = std::make_unique<WorkerPool>(4);
    m_engine = std::make_unique<TestEngine>(*m_pool);
    m_drained = false;
    m_spans.clear();
}

void SidecarFixture::tearDown()
{
    m_client.reset();
    m_sidecar.reset();
    m_engine.reset();
    m_pool.reset();
}

void SidecarFixture::startSidecar(SidecarSettings settings, ClaimStore store)
{
    settings.nodeId = "node-1";
    settings.service = "lector";
    settings.listen = Endpoint {"127.0.0.1", 0};
    settings.admin = Endpoint {"127.0.0.1", 0};
    settings.backend = m_engine->endpoint();
    Sidecar::Hooks hooks;
    hooks.claimStore = std::move(store);
    hooks.onDrained = [this] { m_waiting.change([&] { m_drained = true; }); };
    hooks.exportSpan = [this](const Span &span) {
        m_waiting.change([&] { m_spans.push_back(span); });
    };
    m_sidecar = std::make_unique<Sidecar>(*m_pool, settings, incarnation, std::move(hooks));
    CPPUNIT_ASSERT(m_sidecar->start().isOk());
    m_client = newClient();
}

std::unique_ptr<Http2Client> SidecarFixture::newClient()
{
    return std::make_unique<Http2Client>(*m_pool, Endpoint {"127.0.0.1", m_sidecar->port()});
}

StartAttempt SidecarFixture::startMessage(std::uint32_t attempt)
{
    StartAttempt start;
    start.requestId = "0123456789abcdef0123456789abcdef";
    start.attempt = attempt;
    start.account = "acme";
    start.service = "lector";
    start.model = "m";
    start.prompt = "interpret";
    start.maxTokens = 100;
    start.traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    return start;
}

std::string SidecarFixture::textUntil(TestEntry &entry, std::uint64_t from, std::uint64_t next)
{
    std::string text;
    while (from < next) {
        const auto tokens = entry.next<Tokens>();
        CPPUNIT_ASSERT_EQUAL(from, tokens.offset);
        for (const Token &token : tokens.tokens)
            text += token.text;
        from += tokens.tokens.size();
    }
    return text;
}
