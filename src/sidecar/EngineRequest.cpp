#include "foxtailring/sidecar/EngineRequest.h"

#include "foxtailring/protocol/StartAttempt.h"

#include <nlohmann/json.hpp>

namespace foxtailring {

namespace {

using nlohmann::json;

Result<json> samplingOf(const StartAttempt &start)
{
    if (start.samplingJson.empty())
        return json::object();
    json sampling = json::parse(start.samplingJson, nullptr, false);
    if (!sampling.is_object())
        return Error {ErrorCode::InvalidArgument, "the sampling parameters are not a JSON object"};
    return sampling;
}

} // namespace

Result<HttpRequest> engineRequest(const StartAttempt &start, std::string_view traceparent)
{
    auto sampling = samplingOf(start);
    if (!sampling)
        return sampling.error();
    json &body = sampling.value();
    body["model"] = start.model;
    body["prompt"] = start.prompt;
    body["stream"] = true;
    body["priority"] = start.priority;
    if (start.maxTokens > 0)
        body["max_tokens"] = start.maxTokens;
    if (!start.adapter.empty())
        body["adapter"] = start.adapter;
    if (!start.version.empty())
        body["version"] = start.version;
    json &resume = body["resume_token_ids"] = json::array();
    for (const Token &token : start.prefix)
        resume.push_back(token.id);
    try {
        return HttpRequest {"POST",
                            "/v1/completions",
                            {{"Content-Type", "application/json"},
                             {"Accept", "text/event-stream"},
                             {"traceparent", std::string(traceparent)}},
                            body.dump()};
    } catch (const json::exception &exception) {
        return Error {ErrorCode::InvalidArgument,
                      std::string("the request is not valid JSON text: ") + exception.what()};
    }
}

} // namespace foxtailring
