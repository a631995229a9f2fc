#include "foxtailring/entry/CompletionRequest.h"

#include "foxtailring/protocol/KeyHash.h"

#include <nlohmann/json.hpp>

namespace foxtailring {

namespace {

using Json = nlohmann::json;

// Writing JSON is recursive, so that a body of brackets only must not be taken in.
constexpr int maxDepth = 32;
constexpr std::size_t maxStops = 16;

Error memberError(const std::string &member, const std::string &allowed)
{
    return {ErrorCode::InvalidArgument, "member \"" + member + "\" must be " + allowed};
}

Result<Json> parseObject(std::string_view body)
{
    bool tooDeep = false;
    const auto limitDepth = [&](int depth, Json::parse_event_t, Json &) {
        tooDeep = tooDeep || depth > maxDepth;
        return !tooDeep;
    };
    Json json = Json::parse(body, limitDepth, false);
    if (tooDeep)
        return Error {ErrorCode::InvalidArgument, "the body is nested too deeply"};
    if (!json.is_object())
        return Error {ErrorCode::InvalidArgument, "the body must be a JSON object"};
    return json;
}

Result<std::string> messageText(const Json &message)
{
    const auto role = message.is_object() ? message.find("role") : message.end();
    if (!message.is_object() || role == message.end() || !role->is_string())
        return memberError("messages", "a list of objects with a role");
    std::string text = role->get<std::string>() + ": ";
    const auto content = message.find("content");
    if (content == message.end() || content->is_null())
        return text + '\n';
    if (content->is_string())
        return text + content->get<std::string>() + '\n';
    if (!content->is_array())
        return memberError("messages", "messages with text as content");
    for (const Json &part : *content) {
        if (!part.is_object() || part.value("type", "") != "text" || !part.contains("text")
            || !part["text"].is_string())
            return memberError("messages", "messages with text as content");
        text += part["text"].get<std::string>();
    }
    return text + '\n';
}

Result<std::string> chatPrompt(const Json &json)
{
    const auto messages = json.find("messages");
    if (messages == json.end() || !messages->is_array() || messages->empty())
        return memberError("messages", "a list of at least one message");
    std::string prompt;
    for (const Json &message : *messages) {
        const auto text = messageText(message);
        if (!text)
            return text.error();
        prompt += text.value();
    }
    return prompt + "assistant:";
}

Result<std::string> plainPrompt(const Json &json)
{
    const auto prompt = json.find("prompt");
    if (prompt != json.end() && prompt->is_string())
        return prompt->get<std::string>();
    const bool oneInList = prompt != json.end() && prompt->is_array() && prompt->size() == 1
        && prompt->front().is_string();
    if (!oneInList)
        return memberError("prompt", "a string or a list of one string");
    return prompt->front().get<std::string>();
}

Result<Done> readFlag(const Json &json, const std::string &member, bool &value)
{
    const auto found = json.find(member);
    if (found == json.end() || found->is_null())
        return Done {};
    if (!found->is_boolean())
        return memberError(member, "true or false");
    value = found->get<bool>();
    return Done {};
}

Result<Done> readMaxTokens(const Json &json, const std::string &member, std::uint32_t &value)
{
    const auto found = json.find(member);
    if (found == json.end() || found->is_null())
        return Done {};
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() == 0
        || found->get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max())
        return memberError(member, "an integer above 0");
    value = found->get<std::uint32_t>();
    return Done {};
}

Result<Done> readStops(const Json &json, std::vector<std::string> &stops)
{
    const auto found = json.find("stop");
    if (found == json.end() || found->is_null())
        return Done {};
    const Json list = found->is_array() ? *found : Json::array({*found});
    if (list.size() > maxStops)
        return memberError("stop", "at most 16 strings");
    for (const Json &stop : list) {
        if (!stop.is_string())
            return memberError("stop", "a string or a list of strings");
        stops.push_back(stop.get<std::string>());
    }
    return Done {};
}

Result<Done> checkSingle(const Json &json, const std::string &member)
{
    const auto found = json.find(member);
    if (found == json.end() || found->is_null() || *found == 1)
        return Done {};
    return memberError(member, "1");
}

Result<Done> readMembers(const Json &json, CompletionRequest &request)
{
    const auto model = json.find("model");
    if (model == json.end() || !model->is_string())
        return memberError("model", "the name of a model or adapter");
    request.model = model->get<std::string>();
    auto prompt = request.chat ? chatPrompt(json) : plainPrompt(json);
    if (!prompt)
        return prompt.error();
    request.prompt = std::move(prompt).value();
    const auto options = json.find("stream_options");
    const Json none = Json::object();
    const Json &streamOptions = options != json.end() && options->is_object() ? *options : none;
    for (const auto &done :
         {readFlag(json, "stream", request.stream),
          readFlag(streamOptions, "include_usage", request.includeUsage),
          readMaxTokens(json, "max_tokens", request.maxTokens),
          readMaxTokens(json, "max_completion_tokens", request.maxTokens),
          readStops(json, request.stops), checkSingle(json, "n"), checkSingle(json, "best_of")}) {
        if (!done)
            return done.error();
    }
    return Done {};
}

} // namespace

Result<CompletionRequest> CompletionRequest::parse(std::string_view body, bool chat)
{
    auto parsed = parseObject(body);
    if (!parsed)
        return parsed.error();
    Json json = std::move(parsed).value();
    CompletionRequest request;
    request.chat = chat;
    const auto done = readMembers(json, request);
    if (!done)
        return done.error();
    // How the answer is delivered has no influence on it.
    json.erase("stream");
    json.erase("stream_options");
    request.contentHash = bodyHash(json.dump());
    for (const char *member : {"model", "prompt", "messages", "max_tokens", "max_completion_tokens",
                               "n", "best_of", "user"})
        json.erase(member);
    request.samplingJson = json.dump();
    return request;
}

} // namespace foxtailring
