#pragma once

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/admission/RetryBudget.h"
#include "foxtailring/decisions/configuration/HttpRoute.h"
#include "foxtailring/decisions/limits/RateLimitTable.h"
#include "foxtailring/decisions/limits/ServerAdmission.h"
#include "foxtailring/decisions/limits/ServerPauses.h"
#include "foxtailring/decisions/placement/BackendPlacer.h"
#include "foxtailring/decisions/quarantine/RequestQuarantine.h"
#include "foxtailring/decisions/quarantine/SuspectedCrashes.h"
#include "foxtailring/decisions/servers/BackendAnswer.h"
#include "foxtailring/decisions/servers/BackendTable.h"
#include "foxtailring/decisions/sessions/EngineLatencyEstimator.h"
#include "foxtailring/decisions/sessions/ForwardAction.h"
#include "foxtailring/decisions/sessions/ForwardContext.h"
#include "foxtailring/decisions/sessions/ForwardRequest.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace foxtailring {

/// \brief Provides servers in three zones of three regions, and the shared state of sessions.
class ForwardFixture : public CppUnit::TestFixture
{
protected:
    using Ms = std::chrono::milliseconds;

    /// Lists two servers of the service `engine` in each zone: `a1`, `a2`, `b1` and so on.
    void listServers()
    {
        for (const std::string zone : {"a", "b", "c"}) {
            for (const std::string number : {"1", "2"})
                servers.put(info(zone + number, zone), now);
        }
    }

    static BackendInfo info(const std::string &id, const std::string &zone)
    {
        BackendInfo one;
        one.id = id;
        one.service = "engine";
        one.address = "10.0.0.1:80" + id;
        one.availabilityZone = zone;
        one.slots = 4;
        one.startedAtMs = 1;
        return one;
    }

    static HttpRoute route(CallKind kind)
    {
        HttpRoute one;
        one.kind = kind;
        one.isResumable = kind == CallKind::Stream;
        one.maxAttempts = kind == CallKind::Stream ? 5 : 2;
        one.timeout = Ms(5000);
        one.latencyObjective = Ms(300);
        one.maxEventGap = Ms(700);
        one.targets = {{"engine", 1}};
        return one;
    }

    static BackendAnswer answer(int status)
    {
        BackendAnswer one;
        one.status = status;
        one.isSigned = true;
        return one;
    }

    /// \brief The server with this id says in an answer that it leaves.
    void sayLeaving(const std::string &id)
    {
        servers.recordNotice(servers.server(id, now)->info, LeavingNotice::Leaving);
    }

    /// \brief All servers in the zone of \a server fail, except itself.
    void failZone(const BackendInfo &server, TimePoint at)
    {
        for (const char *number : {"1", "2", "3"}) {
            const std::string id = server.availabilityZone + number;
            servers.put(info(id, server.availabilityZone), now);
            if (id != server.id)
                servers.recordFailure(id, at);
        }
    }

    void useUpRetries()
    {
        while (retryBudget.tryConsume("engine", now)) { }
    }

    static const SendAttempt &sent(const ForwardAction &action)
    {
        CPPUNIT_ASSERT(std::holds_alternative<SendAttempt>(action));
        return std::get<SendAttempt>(action);
    }

    static bool isDelayed(const ForwardAction &action)
    {
        return std::holds_alternative<DelayAttempt>(action);
    }

    static const Refuse &refused(const ForwardAction &action)
    {
        CPPUNIT_ASSERT(std::holds_alternative<Refuse>(action));
        return std::get<Refuse>(action);
    }

    ForwardContext context()
    {
        return {servers,
                placer,
                retryBudget,
                admission,
                quarantine,
                suspectedCrashes,
                latency,
                random,
                [this](const CopyReference &copy) { released.push_back(copy.handle); },
                [this](std::string_view serverId, const RateLimitExplanation &) {
                    limited.emplace_back(serverId);
                },
                [this](std::string_view serverId, Duration) { paused.emplace_back(serverId); },
                [this](const std::string &service) { denied.push_back(service); },
                [this](std::string_view part) { quarantinedParts.emplace_back(part); }};
    }
    ForwardRequest request() const
    {
        return {now, Ms(5000), "p1", {}, 8000, 600, 5, std::nullopt, Ms(0), {}};
    }

    TimePoint now {std::chrono::hours(1)};
    BackendTable servers;
    BackendPlacer placer {servers, "a", {{"a", "ra"}, {"b", "rb"}, {"c", "rc"}}, {}};
    RetryBudget retryBudget {RetryBudget::Settings {0.5, 5}};
    RateLimitTable rateLimits {{"g", Ms(2500)}};
    RequestQuarantine quarantine;
    SuspectedCrashes suspectedCrashes {quarantine};
    RandomSource random {7};
    ServerPauses pauses {servers, random};
    ServerAdmission admission {servers, rateLimits, pauses};
    EngineLatencyEstimator latency;
    std::vector<std::string> released;         ///< handles of snapshots
    std::vector<std::string> limited;          ///< servers passed over because of their rate limit
    std::vector<std::string> paused;           ///< servers passed over because of a pause
    std::vector<std::string> denied;           ///< services whose retry budget was used up
    std::vector<std::string> quarantinedParts; ///< that kept a request from all servers
};

} // namespace foxtailring
