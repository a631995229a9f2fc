#include "foxtailring/sidecar/CompletionReader.h"

#include "foxtailring/base/ParseJson.h"

#include <nlohmann/json.hpp>

namespace foxtailring {

namespace {

using nlohmann::json;

constexpr std::string_view endOfStream = "[DONE]";
// A single event of an engine is far smaller; the bound stops a faulty engine.
constexpr std::size_t maxEventBytes = 4 * 1024 * 1024;

Error malformed(std::string_view what)
{
    return {ErrorCode::Malformed, "engine event: " + std::string(what)};
}

// The text of a chunk belongs to its last token, so that the texts of all tokens joined are the
// answer, at whichever token it is cut.
Result<std::vector<Token>> tokensOf(const json &choice)
{
    std::vector<Token> tokens;
    const json ids = choice.value("token_ids", json::array());
    for (const json &id : ids)
        tokens.push_back(Token {id.get<std::int64_t>(), {}});
    const json text = choice.value("text", json());
    const std::string content = text.is_null() ? std::string() : text.get<std::string>();
    if (tokens.empty() && !content.empty())
        return malformed("text without token_ids");
    if (!tokens.empty())
        tokens.back().text = content;
    return tokens;
}

std::string finishReasonOf(const json &choice)
{
    const auto found = choice.find("finish_reason");
    return found != choice.end() && found->is_string() ? found->get<std::string>() : "";
}

Result<CompletionChunk> parseEvent(const std::string &data)
{
    try {
        const json event = parseJson(data);
        if (event.is_discarded())
            return malformed("no JSON, or nested too deeply");
        if (event.contains("error"))
            return Error {ErrorCode::EngineFailed, "engine error: " + event["error"].dump()};
        const json choices = event.value("choices", json::array());
        if (choices.empty())
            return CompletionChunk {};
        auto tokens = tokensOf(choices.at(0));
        if (!tokens)
            return tokens.error();
        return CompletionChunk {std::move(tokens).value(), finishReasonOf(choices.at(0))};
    } catch (const json::exception &exception) {
        return malformed(exception.what());
    }
}

} // namespace

Result<std::vector<CompletionChunk>> CompletionReader::feed(std::string_view bytes)
{
    m_pending += bytes;
    std::vector<CompletionChunk> chunks;
    std::size_t start = 0;
    for (auto end = m_pending.find('\n'); end != std::string::npos;
         end = m_pending.find('\n', start)) {
        const auto line = std::string_view(m_pending).substr(start, end - start);
        if (const auto ok = takeLine(line, chunks); !ok)
            return ok.error();
        start = end + 1;
    }
    m_pending.erase(0, start);
    if (m_pending.size() + m_data.size() > maxEventBytes)
        return malformed("above the size limit");
    return chunks;
}

Result<Done> CompletionReader::takeLine(std::string_view line, std::vector<CompletionChunk> &chunks)
{
    constexpr std::string_view dataField = "data:";
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    if (line.starts_with(dataField)) {
        line.remove_prefix(dataField.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (!m_data.empty())
            m_data += '\n';
        m_data += line;
        return Done {};
    }
    if (!line.empty() || m_data.empty())
        return Done {};
    const std::string data = std::exchange(m_data, {});
    if (data == endOfStream)
        return Done {};
    auto chunk = parseEvent(data);
    if (!chunk)
        return chunk.error();
    chunks.push_back(std::move(chunk).value());
    return Done {};
}

} // namespace foxtailring
