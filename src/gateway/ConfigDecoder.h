#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/configuration/RouteConfig.h"
#include "foxtailring/store/KeyValue.h"
#include "foxtailring/transport/SerialQueue.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

namespace foxtailring {

class RouteTable;
class WorkerPool;

/// \brief Decodes configurations on the threads of a pool, one at a time. A newer one replaces
/// those that still wait, unless it is unreadable. Thread-safe.
class ConfigDecoder
{
public:
    /// \brief A value of the configuration's key.
    struct Candidate
    {
        KeyValue pair;
        std::int64_t epoch = 0; ///< of the store; orders revisions of one epoch only
        TimePoint readAt;       ///< when the store's answer was read
    };

    /// \brief What became of all offers up to one of them.
    struct Outcome
    {
        std::uint64_t offer = 0;                 ///< the last of them
        std::shared_ptr<const RouteTable> table; ///< null if none was readable
        std::int64_t revision = 0;               ///< of the table
        std::int64_t epoch = 0;                  ///< of all of them
        /// Of the newest value, if that was unreadable.
        std::optional<std::int64_t> unreadableRevision;
        TimePoint readAt; ///< of the table
        Duration decodeTime {};
        std::vector<Error> errors;  ///< of the unreadable ones, the newest first
        std::size_t superseded = 0; ///< that were not decoded
    };

    using Decode = std::function<Result<RouteConfig>(std::string_view value)>;
    using OutcomeHook = std::function<void(const std::shared_ptr<const Outcome> &)>;

    /// \param hook runs on a thread of the pool, in the order of the offers
    ConfigDecoder(WorkerPool &pool, Clock clock, Decode decode, OutcomeHook hook);

    /// \brief Queues the values of one answer, in order. Returns the number of the offer, which
    /// starts at 1.
    std::uint64_t offer(std::vector<Candidate> candidates);

private:
    struct Offer
    {
        std::uint64_t number = 0;
        Candidate candidate;
    };

    std::vector<Offer> takeWaiting();
    void decodeNewest();

    const Clock m_clock;
    const Decode m_decode;
    const OutcomeHook m_hook;
    std::mutex m_mutex;
    std::uint64_t m_lastOffer = 0;
    std::vector<Offer> m_waiting;
    SerialQueue m_queue;
};

} // namespace foxtailring
