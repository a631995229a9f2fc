#include "EngineRegistry.h"

#include "CompletionRequest.h"

namespace foxtailring::fakes {

namespace {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusConflict = 409;

std::set<std::string> toSet(const std::vector<std::string> &names)
{
    return {names.begin(), names.end()};
}

} // namespace

EngineRegistry::EngineRegistry(const EngineOptions &options)
    : m_restricted(!options.models.empty())
    , m_fencing(options.checkFencing)
    , m_loaded {{"model", toSet(options.models)},
                {"adapter", toSet(options.adapters)},
                {"version", toSet(options.versions)}}
{
}

std::string EngineRegistry::missingFor(const CompletionRequest &request)
{
    const std::lock_guard lock(m_mutex);
    if (!m_restricted)
        return {};
    if (isMissing("model", request.model))
        return "model " + request.model;
    if (!request.adapter.empty() && isMissing("adapter", request.adapter))
        return "adapter " + request.adapter;
    if (!request.version.empty() && isMissing("version", request.version))
        return "version " + request.version;
    return {};
}

int EngineRegistry::load(const nlohmann::json &order)
{
    const auto kind = order.at("kind").get<std::string>();
    const auto name = order.at("name").get<std::string>();
    const std::lock_guard lock(m_mutex);
    const auto found = m_loaded.find(kind);
    if (found == m_loaded.end())
        return statusBadRequest;
    const int status = admit(order, "load");
    if (status == statusOk)
        found->second.insert(name);
    return status;
}

int EngineRegistry::changeRole(const nlohmann::json &order)
{
    const auto role = order.at("role").get<std::string>();
    const std::lock_guard lock(m_mutex);
    const int status = admit(order, "role");
    if (status == statusOk)
        m_role = role;
    return status;
}

nlohmann::json EngineRegistry::report()
{
    const std::lock_guard lock(m_mutex);
    return {{"loaded", m_loaded}, {"role", m_role}, {"orders", m_orders}};
}

bool EngineRegistry::isMissing(const std::string &kind, const std::string &name) const
{
    return !m_loaded.at(kind).contains(name);
}

int EngineRegistry::admit(const nlohmann::json &order, const char *what)
{
    const bool admitted = m_fencing.admit(order.value("fencing", std::uint64_t(0)));
    m_orders.push_back({{"order", what}, {"body", order}, {"admitted", admitted}});
    return admitted ? statusOk : statusConflict;
}

} // namespace foxtailring::fakes
