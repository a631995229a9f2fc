#include "foxtailring/decisions/configuration/StoredResource.h"

#include "foxtailring/decisions/configuration/AdapterResource.h"
#include "foxtailring/decisions/configuration/BackendServerResource.h"
#include "foxtailring/decisions/configuration/ClientAccountResource.h"
#include "foxtailring/decisions/configuration/ModelResource.h"
#include "foxtailring/decisions/configuration/ServiceResource.h"

#include <nlohmann/json.hpp>

namespace foxtailring {

namespace {

constexpr std::size_t maxNameLength = 63;

bool isName(std::string_view name)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyz0123456789-.";
    return !name.empty() && name.size() <= maxNameLength
        && name.find_first_not_of(allowed) == std::string_view::npos;
}

template <typename ResourceType>
Result<Done> check(const std::string &name, const nlohmann::json &spec)
{
    const auto parsed = ResourceType::parse(name, spec);
    if (!parsed)
        return parsed.error();
    return Done {};
}

} // namespace

std::string StoredResource::toJson() const
{
    nlohmann::json json;
    json["kind"] = kind;
    json["name"] = name;
    json["writer"] = writer;
    json["changeId"] = changeId;
    json["spec"] = nlohmann::json::parse(spec, nullptr, false);
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<StoredResource> StoredResource::fromJson(std::string_view json, std::int64_t revision)
{
    const auto parsed = nlohmann::json::parse(json, nullptr, false);
    const bool ok = parsed.is_object() && parsed.contains("spec")
        && parsed.value("kind", nlohmann::json()).is_string()
        && parsed.value("name", nlohmann::json()).is_string();
    if (!ok)
        return Error {ErrorCode::Malformed, "a resource is an object with kind, name and spec"};
    const auto text = [&](const char *field) {
        const auto found = parsed.find(field);
        return found != parsed.end() && found->is_string() ? found->get<std::string>()
                                                           : std::string();
    };
    return StoredResource {text("kind"),   text("name"),     revision,
                           text("writer"), text("changeId"), parsed["spec"].dump()};
}

Result<Done> StoredResource::validate() const
{
    if (!isName(name))
        return Error {ErrorCode::InvalidArgument,
                      "name: \"" + name
                          + "\"; allowed: 1 to 63 lower-case letters, digits, dashes and dots"};
    const auto json = nlohmann::json::parse(spec, nullptr, false);
    if (kind == "Service")
        return check<ServiceResource>(name, json);
    if (kind == "ClientAccount")
        return check<ClientAccountResource>(name, json);
    if (kind == "Model")
        return check<ModelResource>(name, json);
    if (kind == "Adapter")
        return check<AdapterResource>(name, json);
    if (kind == "BackendServer")
        return check<BackendServerResource>(name, json);
    return Error {ErrorCode::InvalidArgument,
                  "kind: \"" + kind
                      + "\"; allowed: Service, ClientAccount, Model, Adapter, BackendServer"};
}

} // namespace foxtailring
