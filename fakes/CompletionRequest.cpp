#include "CompletionRequest.h"

namespace foxtailring::fakes {

CompletionRequest CompletionRequest::parse(const nlohmann::json &body)
{
    CompletionRequest request;
    request.prompt = body.at("prompt").get<std::string>();
    request.model = body.value("model", "");
    request.adapter = body.value("adapter", "");
    request.version = body.value("version", "");
    request.maxTokens = body.value("max_tokens", request.maxTokens);
    request.stream = body.value("stream", false);
    request.priority = body.value("priority", 0);
    request.seed = body.value("seed", std::int64_t(0));
    request.resumeIds = body.value("resume_token_ids", request.resumeIds);
    return request;
}

} // namespace foxtailring::fakes
