#include "NoticeCall.h"

#include "SystemFixture.h"

namespace foxtailring::harness {

namespace {

CallAnswer::Outcome outcomeOf(const HttpReply &reply)
{
    using Outcome = CallAnswer::Outcome;
    if (reply.header("Content-Type").find("application/problem+json") == std::string::npos)
        return Outcome::Done;
    const auto problem = nlohmann::json::parse(reply.body, nullptr, false);
    const bool notRun = problem.is_object() && problem.value("outcome", "") == "not-run";
    return notRun ? Outcome::NotRun : Outcome::Unknown;
}

} // namespace

NoticeCall::NoticeCall(std::string name, std::string key, std::string body)
    : m_name(std::move(name))
    , m_key(std::move(key))
    , m_body(std::move(body))
{
}

CallAnswer NoticeCall::send(SystemFixture &system, std::size_t entry,
                            std::chrono::milliseconds timeout) const
{
    HttpCall call {"POST",
                   std::string("/services/") + SystemFixture::plainService + target(),
                   {{"Authorization", "Bearer electricians-key"}},
                   m_body};
    if (!m_key.empty())
        call.headers.push_back({"Idempotency-Key", m_key});
    const auto reply = system.entry(entry % system.entryCount()).client().send(call, timeout);
    if (!reply)
        return {};
    return {outcomeOf(reply.value()), reply.value().status, reply.value().header("Retry-After"),
            reply.value().body};
}

} // namespace foxtailring::harness
