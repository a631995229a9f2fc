#include "OpenAiShape.h"

#include <nlohmann/json.hpp>

namespace foxtailring {

namespace {

using Json = nlohmann::ordered_json;

// Text that is not UTF-8 is sent with replacement characters.
std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Json head(const OpenAiShape &shape, std::string_view chatObject)
{
    Json json;
    json["id"] = (shape.chat ? "chatcmpl-" : "cmpl-") + shape.requestId;
    json["object"] = shape.chat ? chatObject : std::string_view("text_completion");
    json["created"] = shape.created;
    json["model"] = shape.model;
    return json;
}

Json choice()
{
    return Json {{"index", 0}};
}

// The entry has no tokenizer and does not know the tokens of the prompt.
Json usage(std::uint64_t completionTokens)
{
    return Json {{"completion_tokens", completionTokens}};
}

} // namespace

std::string OpenAiShape::chunk(std::string_view text, bool isFirst) const
{
    Json json = head(*this, "chat.completion.chunk");
    Json one = choice();
    if (!chat) {
        one["text"] = text;
    } else {
        one["delta"] = Json::object();
        if (isFirst)
            one["delta"]["role"] = "assistant";
        one["delta"]["content"] = text;
    }
    one["finish_reason"] = nullptr;
    json["choices"] = Json::array({std::move(one)});
    return dump(json);
}

std::string OpenAiShape::lastChunk(std::string_view finishReason) const
{
    Json json = head(*this, "chat.completion.chunk");
    Json one = choice();
    if (chat)
        one["delta"] = Json::object();
    else
        one["text"] = "";
    one["finish_reason"] = finishReason;
    json["choices"] = Json::array({std::move(one)});
    return dump(json);
}

std::string OpenAiShape::usageChunk(std::uint64_t completionTokens) const
{
    Json json = head(*this, "chat.completion.chunk");
    json["choices"] = Json::array();
    json["usage"] = usage(completionTokens);
    return dump(json);
}

std::string OpenAiShape::whole(std::string_view text, std::string_view finishReason,
                               std::uint64_t completionTokens) const
{
    Json json = head(*this, "chat.completion");
    Json one = choice();
    if (chat)
        one["message"] = Json {{"role", "assistant"}, {"content", text}};
    else
        one["text"] = text;
    one["finish_reason"] = finishReason;
    json["choices"] = Json::array({std::move(one)});
    json["usage"] = usage(completionTokens);
    return dump(json);
}

} // namespace foxtailring
