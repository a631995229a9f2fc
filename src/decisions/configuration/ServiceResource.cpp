#include "foxtailring/decisions/configuration/ServiceResource.h"

#include "SpecReader.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace foxtailring {

namespace {

NonIdempotentRule readRule(SpecReader &reader, const nlohmann::json &item)
{
    constexpr std::string_view allowed =
        "a list of {method, pathPrefix}; pathPrefix begins with a slash";
    NonIdempotentRule rule;
    const bool strings = item.is_object() && item.size() == 2 && item.contains("method")
        && item.contains("pathPrefix") && item["method"].is_string()
        && item["pathPrefix"].is_string();
    if (strings) {
        rule.method = item["method"].get<std::string>();
        rule.pathPrefix = item["pathPrefix"].get<std::string>();
    }
    if (rule.method.empty() || !rule.pathPrefix.starts_with('/'))
        reader.addError("nonIdempotent", allowed);
    return rule;
}

} // namespace

bool ServiceResource::isNonIdempotent(std::string_view method, std::string_view path) const
{
    return std::any_of(nonIdempotent.begin(), nonIdempotent.end(),
                       [&](const NonIdempotentRule &rule) { return rule.matches(method, path); });
}

Result<ServiceResource> ServiceResource::parse(const std::string &name, const nlohmann::json &spec)
{
    SpecReader reader(spec);
    ServiceResource service;
    service.name = name;
    const std::string type = reader.requiredString("type", "generation or plain");
    if (type == "plain")
        service.type = ServiceType::Plain;
    else if (!type.empty() && type != "generation")
        reader.addError("type", "generation or plain");
    service.models = reader.stringList("models");
    if (type == "generation" && service.models.empty())
        reader.addError("models", "at least one model name");
    service.latencyWeight = reader.number("latencyWeight", service.latencyWeight, 0, 1);
    service.resourceWeight = reader.number("resourceWeight", service.resourceWeight, 0, 1);
    service.checksFencing = reader.flag("checksFencing", service.checksFencing);
    for (const auto &item : reader.array("nonIdempotent"))
        service.nonIdempotent.push_back(readRule(reader, item));
    const auto done = reader.finish();
    if (!done)
        return done.error();
    return service;
}

} // namespace foxtailring
