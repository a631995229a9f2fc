#include "FairQueue.h"

#include <algorithm>
#include <cassert>

namespace foxtailring {

void FairQueue::push(AccountShare &account, Item item)
{
    Line &line = m_lines[&account];
    line.items.push_back(item);
    countLength(line.items.size() - 1, line.items.size());
    ++m_size;
    if (line.items.size() > 1)
        return;
    line.start = std::max(m_virtualTime, line.finish);
    line.order = ++m_order;
    enter(account, line);
}

std::optional<Ticket> FairQueue::pop(const MayStart &mayStart)
{
    const auto found = std::find_if(m_active.begin(), m_active.end(),
                                    [&](const auto &entry) { return mayStart(*entry.second); });
    if (found == m_active.end())
        return std::nullopt;
    AccountShare &account = *found->second;
    m_active.erase(found);
    Line &line = m_lines[&account];
    const Ticket ticket = line.items.front().ticket;
    line.items.pop_front();
    countLength(line.items.size() + 1, line.items.size());
    --m_size;
    m_virtualTime = std::max(m_virtualTime, line.start);
    line.finish = line.start + 1;
    line.start = line.finish;
    line.order = ++m_order;
    if (!line.items.empty())
        enter(account, line);
    resetWhenEmpty();
    return ticket;
}

bool FairQueue::hasEligible(const MayStart &mayStart) const
{
    return std::any_of(m_active.begin(), m_active.end(),
                       [&](const auto &entry) { return mayStart(*entry.second); });
}

void FairQueue::remove(AccountShare &account, Ticket ticket)
{
    const auto found = m_lines.find(&account);
    if (found == m_lines.end())
        return;
    Line &line = found->second;
    const std::size_t before = line.items.size();
    std::erase_if(line.items, [&](const Item &item) { return item.ticket == ticket; });
    if (line.items.size() == before)
        return;
    countLength(before, line.items.size());
    --m_size;
    if (line.items.empty())
        m_active.erase({{line.start, line.order}, &account});
    resetWhenEmpty();
}

std::size_t FairQueue::aheadOf(const AccountShare &account) const
{
    // Items are served about one round at a time: before item i of an account go the first i items
    // of every account and, at worst, item i of all others.
    const std::size_t rounds = std::min(lengthOf(account) + 1, m_atLeast.size());
    std::size_t ahead = 0;
    for (std::size_t i = 0; i < rounds; ++i)
        ahead += m_atLeast[i];
    return ahead;
}

std::size_t FairQueue::lengthOf(const AccountShare &account) const
{
    const auto found = m_lines.find(const_cast<AccountShare *>(&account));
    return found == m_lines.end() ? 0 : found->second.items.size();
}

std::vector<Ticket> FairQueue::removeLate(const IsLate &isLate)
{
    std::vector<Ticket> late;
    std::vector<std::pair<AccountShare *, Line *>> order;
    for (const auto &[key, account] : m_active)
        order.emplace_back(account, &m_lines[account]);
    std::vector<std::deque<Item>> kept(order.size());

    std::size_t ahead = 0;
    for (bool anyLeft = true; anyLeft;) {
        anyLeft = false;
        for (std::size_t i = 0; i < order.size(); ++i) {
            auto &items = order[i].second->items;
            while (!items.empty()
                   && isLate(items.front(), *order[i].first, ahead, kept[i].size())) {
                late.push_back(items.front().ticket);
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
    rebuild(order, kept);
    return late;
}

void FairQueue::rebuild(const std::vector<std::pair<AccountShare *, Line *>> &order,
                        std::vector<std::deque<Item>> &kept)
{
    m_atLeast.clear();
    m_size = 0;
    for (std::size_t i = 0; i < order.size(); ++i) {
        Line &line = *order[i].second;
        line.items = std::move(kept[i]);
        m_size += line.items.size();
        countLength(0, line.items.size());
        if (line.items.empty())
            m_active.erase({{line.start, line.order}, order[i].first});
    }
    resetWhenEmpty();
}

void FairQueue::enter(AccountShare &account, const Line &line)
{
    m_active.insert({{line.start, line.order}, &account});
}

void FairQueue::countLength(std::size_t from, std::size_t to)
{
    if (m_atLeast.size() < to)
        m_atLeast.resize(to);
    for (; from < to; ++from)
        ++m_atLeast[from];
    for (; from > to; --from)
        --m_atLeast[from - 1];
    while (!m_atLeast.empty() && m_atLeast.back() == 0)
        m_atLeast.pop_back();
}

void FairQueue::resetWhenEmpty()
{
    if (m_size > 0)
        return;
    // Nobody waits, so nobody is owed service: this also frees the lines of idle accounts.
    m_lines.clear();
    m_active.clear();
    m_atLeast.clear();
    m_virtualTime = 0;
}

} // namespace foxtailring
