#pragma once

#include "EngineOptions.h"
#include "FencingGuard.h"

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace foxtailring::fakes {

struct CompletionRequest;

/// \brief Loaded models, adapters and versions, and the engine's role. Thread-safe.
class EngineRegistry
{
public:
    explicit EngineRegistry(const EngineOptions &options);

    /// \brief Name of what \a request needs and is not loaded; empty when nothing is missing.
    std::string missingFor(const CompletionRequest &request);
    /// \brief Carries out an order `{"kind","name","fencing"}`; returns the HTTP status.
    int load(const nlohmann::json &order);
    /// \brief Carries out an order `{"role","fencing"}`; returns the HTTP status.
    int changeRole(const nlohmann::json &order);
    /// \brief Lists of what is loaded by kind, the role, and the orders received.
    nlohmann::json report();

private:
    bool isMissing(const std::string &kind, const std::string &name) const;
    int admit(const nlohmann::json &order, const char *what);

    bool m_restricted;
    FencingGuard m_fencing;
    std::mutex m_mutex;
    std::map<std::string, std::set<std::string>> m_loaded;
    std::string m_role = "mixed";
    nlohmann::json m_orders = nlohmann::json::array();
};

} // namespace foxtailring::fakes
