#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/admission/AdmissionDecision.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace foxtailring {

struct AccountUsage;

/// \brief Queue of one service and priority that is fair between client accounts.
///
/// Start-time fair queueing: the next request of each account has a virtual start time, and the
/// lowest one is served first. An account with a long queue thus delays the others by one request
/// at most. Not thread-safe.
class FairQueue
{
public:
    struct Item
    {
        Ticket ticket = 0;
        TimePoint latestStart;
    };
    using MayStart = std::function<bool(const AccountUsage &)>;

    void push(AccountUsage &account, Item item);
    /// \brief Removes the next request whose account passes \a mayStart; none if there is none.
    std::optional<Ticket> pop(const MayStart &mayStart);
    bool hasEligible(const MayStart &mayStart) const;
    /// \brief Removes a ticket at any position. Does nothing when it is not queued.
    void remove(AccountUsage &account, Ticket ticket);

    /// \brief Estimates how many requests would be served before one that \a account adds now.
    std::size_t aheadOf(const AccountUsage &account) const;
    std::size_t lengthOf(const AccountUsage &account) const;
    std::size_t size() const { return m_size; }

    /// \brief Visits the requests in the order of service, and removes those that \a isLate
    /// selects. \a ahead and \a ownAhead are the requests kept so far, of all accounts
    /// and of the request's own.
    using IsLate = std::function<bool(const Item &, const AccountUsage &, std::size_t ahead,
                                      std::size_t ownAhead)>;
    void removeLate(const IsLate &isLate);

private:
    struct AccountQueue
    {
        std::deque<Item> items;
        double virtualStart = 0;    ///< of the first item
        double virtualFinish = 0;   ///< of the last item served
        std::uint64_t sequence = 0; ///< breaks ties between equal start times
    };
    using Key = std::pair<double, std::uint64_t>;

    void activate(AccountUsage &account, const AccountQueue &queue);
    void rebuild(const std::vector<std::pair<AccountUsage *, AccountQueue *>> &activeQueues,
                 std::vector<std::deque<Item>> &kept);
    void updateLengthCounts(std::size_t from, std::size_t to);
    void resetWhenEmpty();

    std::unordered_map<AccountUsage *, AccountQueue> m_queues;
    std::set<std::pair<Key, AccountUsage *>>
        m_active;                                ///< accounts with items, in the order of service
    std::vector<std::size_t> m_accountsByLength; ///< [i]: number of accounts with more than i items
    std::size_t m_size = 0;
    double m_virtualTime = 0;
    std::uint64_t m_lastSequence = 0;
};

} // namespace foxtailring
