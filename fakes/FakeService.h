#pragma once

#include "FencingGuard.h"
#include "HangGate.h"
#include "ServiceOptions.h"
#include "Slots.h"

#include <mutex>
#include <nlohmann/json.hpp>

namespace foxtailring::fakes {

class FakeExchange;

/// \brief Stand-in for a plain HTTP service with one register. Thread-safe.
class FakeService
{
public:
    explicit FakeService(ServiceOptions options);

    /// \brief Answers one HTTP request.
    void handle(FakeExchange &exchange);

private:
    void control(FakeExchange &exchange);
    void applyFaults(const nlohmann::json &faults);
    void call(FakeExchange &exchange);
    bool isFenced(const FakeExchange &exchange);
    nlohmann::json execute(const FakeExchange &exchange);
    static bool takeOne(int &left);

    ServiceOptions m_options;
    FencingGuard m_fencing;
    HangGate m_hang;
    Slots m_slots;
    std::mutex m_mutex; // guards all below
    int m_dropReplies = 0;
    int m_failures = 0;
    nlohmann::json m_register = nlohmann::json::array();
    nlohmann::json m_log = nlohmann::json::array();
};

} // namespace foxtailring::fakes
