#include "foxtailring/decisions/claims/ClaimDocument.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

namespace foxtailring {

namespace {

using nlohmann::json;

constexpr std::string_view doneName = "done";
constexpr std::string_view notRunName = "notRun";
constexpr std::string_view unknownName = "unknown";

std::string_view nameOf(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Done:
        return doneName;
    case Outcome::NotRun:
        return notRunName;
    case Outcome::Unknown:
        break;
    }
    return unknownName;
}

// An outcome added by a later version is treated as Unknown, so that the call is never sent again.
Outcome outcomeOf(std::string_view name)
{
    if (name == doneName)
        return Outcome::Done;
    return name == notRunName ? Outcome::NotRun : Outcome::Unknown;
}

json toJsonValue(const ClaimRecord &record)
{
    json value = {{"body", record.requestHash},
                  {"claim", record.claimId},
                  {"incarnation", record.incarnation},
                  {"at", record.updatedUnixSeconds}};
    if (record.outcome)
        value["outcome"] = nameOf(*record.outcome);
    if (record.status != 0)
        value["status"] = record.status;
    if (record.answer)
        value["answer"] = *record.answer;
    return value;
}

ClaimRecord recordOf(const json &value)
{
    ClaimRecord record;
    record.requestHash = value.at("body").get<std::string>();
    record.claimId = value.at("claim").get<std::string>();
    record.incarnation = value.at("incarnation").get<std::uint64_t>();
    record.updatedUnixSeconds = value.at("at").get<std::int64_t>();
    if (value.contains("outcome"))
        record.outcome = outcomeOf(value["outcome"].get<std::string>());
    if (value.contains("status"))
        record.status = value["status"].get<std::uint32_t>();
    if (value.contains("answer"))
        record.answer = value["answer"].get<std::string>();
    return record;
}

} // namespace

Result<ClaimDocument> ClaimDocument::fromJson(std::string_view text)
{
    ClaimDocument document;
    if (text.empty())
        return document;
    try {
        const json value = json::parse(text);
        for (const auto &[key, claim] : value.at("claims").items())
            document.m_claims.emplace(key, recordOf(claim));
        return document;
    } catch (const json::exception &exception) {
        return Error {ErrorCode::Malformed, std::string("bucket of claims: ") + exception.what()};
    }
}

std::string ClaimDocument::toJson() const
{
    json claims = json::object();
    for (const auto &[key, record] : m_claims)
        claims[key] = toJsonValue(record);
    return json {{"claims", std::move(claims)}}.dump();
}

const ClaimRecord *ClaimDocument::find(const std::string &key) const
{
    const auto found = m_claims.find(key);
    return found == m_claims.end() ? nullptr : &found->second;
}

void ClaimDocument::set(const std::string &key, ClaimRecord record)
{
    m_claims.insert_or_assign(key, std::move(record));
}

void ClaimDocument::erase(const std::string &key)
{
    m_claims.erase(key);
}

void ClaimDocument::expire(std::int64_t unixSeconds)
{
    std::erase_if(m_claims, [&](const auto &entry) {
        return entry.second.updatedUnixSeconds <= unixSeconds;
    });
}

std::optional<std::string> ClaimDocument::shrinkToJson(std::size_t maxBytes)
{
    std::string text = toJson();
    if (text.size() <= maxBytes)
        return text;
    std::size_t size = text.size();
    std::vector<ClaimRecord *> answered;
    for (auto &[key, record] : m_claims) {
        if (record.answer)
            answered.push_back(&record);
    }
    std::stable_sort(answered.begin(), answered.end(), [](const auto *a, const auto *b) {
        return a->updatedUnixSeconds < b->updatedUnixSeconds;
    });
    for (ClaimRecord *record : answered) {
        if (size <= maxBytes)
            break;
        const std::size_t before = toJsonValue(*record).dump().size();
        record->answer.reset();
        size -= before - toJsonValue(*record).dump().size();
    }
    if (size > maxBytes)
        return std::nullopt;
    return toJson();
}

} // namespace foxtailring
