#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/AdmissionDecision.h"

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

/// \brief Requests of one service and priority, shared fairly between client accounts.
///
/// Start-time fair queueing: each account's next request carries a virtual start time, and the
/// least one goes first, so an account with a long queue delays the others by one request at most.
/// Not thread-safe.
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
    /// \brief Removes the next request whose account \a mayStart.
    std::optional<Ticket> pop(const MayStart &mayStart);
    bool hasEligible(const MayStart &mayStart) const;
    /// \brief Removes one ticket wherever it stands.
    void remove(AccountUsage &account, Ticket ticket);

    /// \brief Requests served before the next one that \a account would add.
    std::size_t aheadOf(const AccountUsage &account) const;
    std::size_t lengthOf(const AccountUsage &account) const;
    std::size_t size() const { return m_size; }

    /// \brief Removes, in the order of service, each request that \a isLate; it is told how many
    /// kept requests are served before it, of all accounts and of its own.
    using IsLate = std::function<bool(const Item &, const AccountUsage &, std::size_t ahead,
                                      std::size_t ownAhead)>;
    std::vector<Ticket> removeLate(const IsLate &isLate);

private:
    struct AccountQueue
    {
        std::deque<Item> items;
        double virtualStart = 0;    ///< virtual start time of the first item
        double virtualFinish = 0;   ///< virtual finish time of the last item served
        std::uint64_t sequence = 0; ///< breaks ties in order of arrival
    };
    using Key = std::pair<double, std::uint64_t>;

    void activate(AccountUsage &account, const AccountQueue &queue);
    void rebuild(const std::vector<std::pair<AccountUsage *, AccountQueue *>> &order,
                 std::vector<std::deque<Item>> &kept);
    void updateLengthCounts(std::size_t from, std::size_t to);
    void resetWhenEmpty();

    std::unordered_map<AccountUsage *, AccountQueue> m_queues;
    std::set<std::pair<Key, AccountUsage *>> m_active; ///< accounts with items, next one first
    std::vector<std::size_t> m_accountsByLength;       ///< [i]: accounts with more than i items
    std::size_t m_size = 0;
    double m_virtualTime = 0;
    std::uint64_t m_lastSequence = 0;
};

} // namespace foxtailring
