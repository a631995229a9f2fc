#include "foxtailring/operator/OperatorApi.h"

#include "foxtailring/decisions/configuration/ConfigState.h"
#include "foxtailring/protocol/ConfigUpdate.h"
#include "foxtailring/store/ResourceStore.h"
#include "foxtailring/transport/Http1Client.h"
#include "foxtailring/transport/Http1Responder.h"
#include "foxtailring/transport/HttpRequest.h"
#include "OperatorTarget.h"
#include "PeerQuery.h"
#include "Replies.h"
#include "WatchStreams.h"

#include <nlohmann/json.hpp>

namespace foxtailring {

namespace {

using Responder = std::shared_ptr<Http1Responder>;

nlohmann::json toJson(const StoredResource &resource)
{
    auto json = nlohmann::json::parse(resource.toJson());
    json["revision"] = resource.revision;
    json["entityTag"] = StoreRevision {resource.epoch, resource.revision}.toString();
    return json;
}

HttpResponse resourceReply(const StoredResource &resource)
{
    const auto json = toJson(resource);
    HttpResponse response = jsonReply(200, json);
    response.headers.push_back({"etag", '"' + json["entityTag"].get<std::string>() + '"'});
    return response;
}

// A change must name the revision that it replaces, or it could overwrite another operator's
// change.
constexpr int preconditionRequired = 428;

// Revision in `If-Match`, or number 0 for `If-None-Match: *`.
Result<StoreRevision> expectedRevision(const HttpRequest &request)
{
    if (request.header("if-none-match") == "*")
        return StoreRevision {};
    std::string_view text = request.header("if-match");
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
        text = text.substr(1, text.size() - 2);
    const auto revision = StoreRevision::parse(text);
    if (!revision || revision->number == 0)
        return Error {ErrorCode::InvalidArgument,
                      "If-Match must hold the entity tag of the resource as last seen, or "
                      "If-None-Match: * to create it"};
    return *revision;
}

} // namespace

struct OperatorApi::State
{
    State(WorkerPool &workers, ResourceStore &resources, ConfigState &configuration,
          Http1Client &http, OperatorHooks entryHooks)
        : store(resources)
        , config(configuration)
        , hooks(std::move(entryHooks))
        , watchStreams(workers, configuration)
        , peers(http)
    {
    }

    void list(const Responder &responder);
    void get(const std::string &kind, const std::string &name, const Responder &responder);
    void put(const HttpRequest &request, const std::string &kind, const std::string &name,
             const Responder &responder);
    void remove(const HttpRequest &request, const std::string &kind, const std::string &name,
                const Responder &responder);
    void resource(const HttpRequest &request, const OperatorTarget &target,
                  const Responder &responder);
    void inForce(const OperatorTarget &target, const Responder &responder);
    void status(const Responder &responder) const;

    ResourceStore &store;
    ConfigState &config;
    OperatorHooks hooks;
    WatchStreams watchStreams;
    PeerQuery peers;
};

OperatorApi::OperatorApi(WorkerPool &pool, ResourceStore &store, ConfigState &config,
                         Http1Client &http, OperatorHooks hooks)
    : m_state(std::make_shared<State>(pool, store, config, http, std::move(hooks)))
{
}

OperatorApi::~OperatorApi() = default;

void OperatorApi::State::list(const Responder &responder)
{
    store.list([responder](Result<ResourceList> result) {
        if (!result)
            return responder->respond(problemReply(result.error()));
        nlohmann::json body = {{"revision", result.value().revision},
                               {"resources", nlohmann::json::array()}};
        for (const auto &resource : result.value().resources)
            body["resources"].push_back(toJson(resource));
        responder->respond(jsonReply(200, body));
    });
}

void OperatorApi::State::get(const std::string &kind, const std::string &name,
                             const Responder &responder)
{
    store.get(kind, name, [responder](Result<StoredResource> result) {
        responder->respond(result ? resourceReply(result.value()) : problemReply(result.error()));
    });
}

void OperatorApi::State::put(const HttpRequest &request, const std::string &kind,
                             const std::string &name, const Responder &responder)
{
    const auto expected = expectedRevision(request);
    if (!expected)
        return responder->respond(problemReply(expected.error(), preconditionRequired));
    auto resource = StoredResource::fromJson(request.body, 0);
    if (!resource)
        return responder->respond(problemReply(resource.error()));
    if (resource.value().kind != kind || resource.value().name != name)
        return responder->respond(problemReply(
            {ErrorCode::InvalidArgument, "kind and name in the body differ from the path"}));
    const auto valid = resource.value().validate();
    if (!valid)
        return responder->respond(problemReply(valid.error()));
    resource.value().writer = request.header("x-operator");
    store.put(std::move(resource).value(), expected.value(),
              [responder](Result<StoredResource> result) {
                  responder->respond(result ? resourceReply(result.value())
                                            : problemReply(result.error()));
              });
}

void OperatorApi::State::remove(const HttpRequest &request, const std::string &kind,
                                const std::string &name, const Responder &responder)
{
    const auto expected = expectedRevision(request);
    if (!expected)
        return responder->respond(problemReply(expected.error(), preconditionRequired));
    store.remove(kind, name, expected.value(), [responder](Result<std::int64_t> result) {
        responder->respond(result ? jsonReply(200, {{"revision", result.value()}})
                                  : problemReply(result.error()));
    });
}

void OperatorApi::State::resource(const HttpRequest &request, const OperatorTarget &target,
                                  const Responder &responder)
{
    const std::string &kind = target.segments[1];
    const std::string &name = target.segments[2];
    if (request.method == "GET")
        return get(kind, name, responder);
    if (request.method == "PUT")
        return put(request, kind, name, responder);
    if (request.method == "DELETE")
        return remove(request, kind, name, responder);
    responder->respond(HttpResponse {405, {{"allow", "GET, PUT, DELETE"}}, ""});
}

void OperatorApi::State::inForce(const OperatorTarget &target, const Responder &responder)
{
    NodeReport localReport;
    localReport.add(hooks.localNodes());
    if (target.isLocalOnly)
        return responder->respond(
            HttpResponse {200, {{"content-type", "application/json"}}, localReport.toJson()});
    const std::int64_t revision = target.revision.value_or(config.revision());
    peers.collect(std::move(localReport), hooks.peerAdminAddresses(),
                  [revision, responder](const NodeReport &all) {
                      const auto missing = all.nodesMissing(revision);
                      const nlohmann::json body = {{"revision", revision},
                                                   {"inForce", missing.empty()},
                                                   {"missing", missing},
                                                   {"nodes", nlohmann::json::parse(all.toJson())}};
                      responder->respond(jsonReply(200, body));
                  });
}

void OperatorApi::State::status(const Responder &responder) const
{
    auto body = nlohmann::json::parse(hooks.statusJson(), nullptr, false);
    if (!body.is_object())
        body = nlohmann::json::object();
    body["revision"] = config.revision();
    responder->respond(jsonReply(200, body));
}

void OperatorApi::handle(const HttpRequest &request, std::shared_ptr<Http1Responder> responder)
{
    const auto target = OperatorTarget::parse(request.target);
    if (!target)
        return responder->respond(problemReply(target.error()));
    const auto &segments = target.value().segments;
    const std::string first = segments.empty() ? "" : segments[0];
    if (first == "resources" && segments.size() == 3)
        return m_state->resource(request, target.value(), responder);
    if (request.method != "GET")
        return responder->respond(HttpResponse {405, {{"allow", "GET"}}, ""});
    if (first == "resources" && segments.size() == 1)
        return m_state->list(responder);
    if (first == "watch")
        return m_state->watchStreams.start(target.value().from.value_or(0), std::move(responder));
    if (first == "inforce")
        return m_state->inForce(target.value(), responder);
    if (first == "status")
        return m_state->status(responder);
    responder->respond(
        problemReply({ErrorCode::NotFound, "path \"" + request.target + "\" does not exist"}));
}

} // namespace foxtailring
