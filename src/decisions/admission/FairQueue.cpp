#include "FairQueue.h"

#include <algorithm>
#include <cassert>

namespace foxtailring {

void FairQueue::push(AccountUsage &account, Item item)
{
    AccountQueue &queue = m_queues[&account];
    queue.items.push_back(item);
    updateLengthCounts(queue.items.size() - 1, queue.items.size());
    ++m_size;
    if (queue.items.size() > 1)
        return;
    queue.virtualStart = std::max(m_virtualTime, queue.virtualFinish);
    queue.sequence = ++m_lastSequence;
    activate(account, queue);
}

std::optional<Ticket> FairQueue::pop(const MayStart &mayStart)
{
    const auto found = std::find_if(m_active.begin(), m_active.end(),
                                    [&](const auto &entry) { return mayStart(*entry.second); });
    if (found == m_active.end())
        return std::nullopt;
    AccountUsage &account = *found->second;
    m_active.erase(found);
    AccountQueue &queue = m_queues[&account];
    const Ticket ticket = queue.items.front().ticket;
    queue.items.pop_front();
    updateLengthCounts(queue.items.size() + 1, queue.items.size());
    --m_size;
    m_virtualTime = std::max(m_virtualTime, queue.virtualStart);
    queue.virtualFinish = queue.virtualStart + 1;
    queue.virtualStart = queue.virtualFinish;
    queue.sequence = ++m_lastSequence;
    if (!queue.items.empty())
        activate(account, queue);
    resetWhenEmpty();
    return ticket;
}

bool FairQueue::hasEligible(const MayStart &mayStart) const
{
    return std::any_of(m_active.begin(), m_active.end(),
                       [&](const auto &entry) { return mayStart(*entry.second); });
}

void FairQueue::remove(AccountUsage &account, Ticket ticket)
{
    const auto found = m_queues.find(&account);
    if (found == m_queues.end())
        return;
    AccountQueue &queue = found->second;
    const std::size_t before = queue.items.size();
    std::erase_if(queue.items, [&](const Item &item) { return item.ticket == ticket; });
    if (queue.items.size() == before)
        return;
    updateLengthCounts(before, queue.items.size());
    --m_size;
    if (queue.items.empty())
        m_active.erase({{queue.virtualStart, queue.sequence}, &account});
    resetWhenEmpty();
}

std::size_t FairQueue::aheadOf(const AccountUsage &account) const
{
    // Service is about round-robin: before item i of an account come the first i items of every
    // account and, at worst, item i of all others.
    const std::size_t rounds = std::min(lengthOf(account) + 1, m_accountsByLength.size());
    std::size_t ahead = 0;
    for (std::size_t i = 0; i < rounds; ++i)
        ahead += m_accountsByLength[i];
    return ahead;
}

std::size_t FairQueue::lengthOf(const AccountUsage &account) const
{
    const auto found = m_queues.find(const_cast<AccountUsage *>(&account));
    return found == m_queues.end() ? 0 : found->second.items.size();
}

void FairQueue::removeLate(const IsLate &isLate)
{
    std::vector<std::pair<AccountUsage *, AccountQueue *>> activeQueues;
    for (const auto &[key, account] : m_active)
        activeQueues.emplace_back(account, &m_queues[account]);
    std::vector<std::deque<Item>> kept(activeQueues.size());

    std::size_t ahead = 0;
    for (bool anyLeft = true; anyLeft;) {
        anyLeft = false;
        for (std::size_t i = 0; i < activeQueues.size(); ++i) {
            auto &items = activeQueues[i].second->items;
            while (!items.empty()
                   && isLate(items.front(), *activeQueues[i].first, ahead, kept[i].size())) {
                items.pop_front();
            }
            if (items.empty())
                continue;
            kept[i].push_back(items.front());
            items.pop_front();
            ++ahead;
            anyLeft = true;
        }
    }
    rebuild(activeQueues, kept);
}

void FairQueue::rebuild(const std::vector<std::pair<AccountUsage *, AccountQueue *>> &activeQueues,
                        std::vector<std::deque<Item>> &kept)
{
    m_accountsByLength.clear();
    m_size = 0;
    for (std::size_t i = 0; i < activeQueues.size(); ++i) {
        AccountQueue &queue = *activeQueues[i].second;
        queue.items = std::move(kept[i]);
        m_size += queue.items.size();
        updateLengthCounts(0, queue.items.size());
        if (queue.items.empty())
            m_active.erase({{queue.virtualStart, queue.sequence}, activeQueues[i].first});
    }
    resetWhenEmpty();
}

void FairQueue::activate(AccountUsage &account, const AccountQueue &queue)
{
    m_active.insert({{queue.virtualStart, queue.sequence}, &account});
}

void FairQueue::updateLengthCounts(std::size_t from, std::size_t to)
{
    if (m_accountsByLength.size() < to)
        m_accountsByLength.resize(to);
    for (; from < to; ++from)
        ++m_accountsByLength[from];
    for (; from > to; --from)
        --m_accountsByLength[from - 1];
    while (!m_accountsByLength.empty() && m_accountsByLength.back() == 0)
        m_accountsByLength.pop_back();
}

void FairQueue::resetWhenEmpty()
{
    if (m_size > 0)
        return;
    // The order between accounts matters only while requests wait. This also frees the queues of
    // idle accounts.
    m_queues.clear();
    m_active.clear();
    m_accountsByLength.clear();
    m_virtualTime = 0;
}

} // namespace foxtailring
