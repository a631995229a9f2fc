#include "RequestMemoryFactory.h"

#include "foxtailring/base/MetricRegistry.h"
#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/decisions/admission/MemoryBudget.h"
#include "foxtailring/decisions/sessions/ForwardAction.h"
#include "foxtailring/transport/RequestMemory.h"

#include "Refusal.h"

#include <utility>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

// Each refusal frees memory, so a part of the requests in progress is whole soon. The random spread
// keeps callers that were refused together from returning together.
constexpr milliseconds shortestRetryAfter {500};
constexpr milliseconds retryAfterSpread {1000};

// Hundreds of requests can be refused at once.
constexpr milliseconds logInterval {1000};

class BudgetedMemory : public RequestMemory
{
public:
    BudgetedMemory(MemoryBudget &budget, RequestMemoryFactory &factory)
        : m_reservation(budget, true)
        , m_factory(factory)
    {
    }

    bool tryResize(std::size_t bytes) override { return m_reservation.tryResize(bytes); }
    void onArrived() override { m_reservation.setArrived(); }
    bool assignTo(std::string_view account) override { return m_reservation.assignTo(account); }
    HttpResponse refuse() override { return m_factory.refuse(); }

private:
    MemoryBudget::Reservation m_reservation;
    RequestMemoryFactory &m_factory;
};

} // namespace

RequestMemoryFactory::RequestMemoryFactory(MemoryBudget &budget, MetricRegistry &metrics,
                                           Clock clock)
    : m_budget(budget)
    , m_metrics(metrics)
    , m_clock(std::move(clock))
    , m_random(RandomSource::fromEntropy())
{
}

std::shared_ptr<RequestMemory> RequestMemoryFactory::begin()
{
    return std::make_shared<BudgetedMemory>(m_budget, *this);
}

HttpResponse RequestMemoryFactory::refuse()
{
    m_metrics.add("gateway_arrivals_refused_total");
    log();
    return refusalResponse("", {503, retryAfter(), "memory"});
}

void RequestMemoryFactory::updateGauges()
{
    m_metrics.setGauge("gateway_held_bytes", static_cast<double>(m_budget.held()));
    m_metrics.setGauge("gateway_arriving_bytes", static_cast<double>(m_budget.arriving()));
}

milliseconds RequestMemoryFactory::retryAfter()
{
    const std::lock_guard lock(m_mutex);
    const auto spread = static_cast<std::uint64_t>(retryAfterSpread.count());
    return shortestRetryAfter + milliseconds(m_random.bounded(spread));
}

void RequestMemoryFactory::log()
{
    const TimePoint now = m_clock();
    const std::lock_guard lock(m_mutex);
    ++m_unloggedCount;
    if (m_loggedAt && now < *m_loggedAt + logInterval)
        return;
    m_loggedAt = now;
    StructuredLog::warn("arrivalsRefused",
                        {{"count", std::to_string(std::exchange(m_unloggedCount, 0))},
                         {"arriving", std::to_string(m_budget.arriving())},
                         {"heldByAll", std::to_string(m_budget.held())}});
}

} // namespace foxtailring
