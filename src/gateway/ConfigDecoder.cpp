#include "ConfigDecoder.h"

#include "foxtailring/decisions/configuration/RouteTable.h"

#include <algorithm>
#include <exception>
#include <iterator>
#include <utility>

namespace foxtailring {

namespace {

// The proof of keys waits for the outcome, so there is one whatever the value is.
Result<RouteConfig> decodeOrFail(const ConfigDecoder::Decode &decode, std::string_view value)
try {
    return decode(value);
} catch (const std::exception &exception) {
    return Error {ErrorCode::Malformed, exception.what()};
}

} // namespace

ConfigDecoder::ConfigDecoder(WorkerPool &pool, Clock clock, Decode decode, OutcomeHook hook)
    : m_clock(std::move(clock))
    , m_decode(std::move(decode))
    , m_hook(std::move(hook))
    , m_queue(pool)
{
}

// One task for each offer; those that find nothing left return at once.
std::uint64_t ConfigDecoder::offer(std::vector<Candidate> candidates)
{
    const std::lock_guard lock(m_mutex);
    ++m_lastOffer;
    for (Candidate &candidate : candidates)
        m_waiting.push_back({m_lastOffer, std::move(candidate)});
    m_queue.post([this] { decodeNewest(); });
    return m_lastOffer;
}

// Revisions of two epochs have no order, so values of the next epoch wait for their own task.
std::vector<ConfigDecoder::Offer> ConfigDecoder::takeWaiting()
{
    const std::lock_guard lock(m_mutex);
    if (m_waiting.empty())
        return {};
    const auto end = std::find_if(m_waiting.begin(), m_waiting.end(), [this](const Offer &one) {
        return one.candidate.epoch != m_waiting.front().candidate.epoch;
    });
    std::vector<Offer> taken(std::make_move_iterator(m_waiting.begin()),
                             std::make_move_iterator(end));
    m_waiting.erase(m_waiting.begin(), end);
    return taken;
}

void ConfigDecoder::decodeNewest()
{
    std::vector<Offer> offers = takeWaiting();
    if (offers.empty())
        return;
    const auto outcome = std::make_shared<Outcome>();
    outcome->offer = offers.back().number;
    // An answer to a read may be older than a change that was reported before it.
    std::stable_sort(offers.begin(), offers.end(), [](const Offer &a, const Offer &b) {
        return a.candidate.pair.modRevision < b.candidate.pair.modRevision;
    });
    outcome->epoch = offers.back().candidate.epoch;
    const TimePoint startedAt = m_clock();
    for (; !outcome->table && !offers.empty(); offers.pop_back()) {
        const Candidate &newest = offers.back().candidate;
        auto config = decodeOrFail(m_decode, newest.pair.value);
        if (!config) {
            outcome->errors.push_back(config.error());
            if (!outcome->unreadableRevision)
                outcome->unreadableRevision = newest.pair.modRevision;
            continue;
        }
        outcome->table = std::make_shared<const RouteTable>(std::move(config).value());
        outcome->revision = newest.pair.modRevision;
        outcome->readAt = newest.readAt;
    }
    outcome->decodeTime = m_clock() - startedAt;
    outcome->superseded = offers.size();
    m_hook(outcome);
}

} // namespace foxtailring
