#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/RandomSource.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>

namespace foxtailring {

class MemoryBudget;
class MetricRegistry;
class RequestMemory;
struct HttpResponse;

/// \brief Gives each request a reservation of the memory budget, and reports refusals. Thread-safe.
class RequestMemoryFactory
{
public:
    /// \param budget, metrics kept by reference
    RequestMemoryFactory(MemoryBudget &budget, MetricRegistry &metrics, Clock clock);

    /// \brief Memory of a request of which no byte has been counted. This object must outlive it.
    std::shared_ptr<RequestMemory> begin();
    /// \brief Counts and logs the refusal of a request that has not arrived whole.
    HttpResponse refuse();
    void updateGauges();

private:
    void log();
    std::chrono::milliseconds retryAfter();

    MemoryBudget &m_budget;
    MetricRegistry &m_metrics;
    const Clock m_clock;
    std::mutex m_mutex; ///< of what follows
    RandomSource m_random;
    std::optional<TimePoint> m_loggedAt;
    std::uint64_t m_unloggedCount = 0; ///< refusals since the last line
};

} // namespace foxtailring
