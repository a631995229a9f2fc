#include "foxtailring/sidecar/PrefixHashes.h"

namespace foxtailring {

PrefixHashes::PrefixHashes(std::size_t most)
    : m_most(most)
{
}

void PrefixHashes::stored(std::uint64_t hash)
{
    evicted(hash);
    m_order.push_front(hash);
    m_places[hash] = m_order.begin();
    if (m_order.size() > m_most)
        evicted(m_order.back());
}

void PrefixHashes::evicted(std::uint64_t hash)
{
    const auto place = m_places.find(hash);
    if (place == m_places.end())
        return;
    m_order.erase(place->second);
    m_places.erase(place);
}

void PrefixHashes::clear()
{
    m_order.clear();
    m_places.clear();
}

std::vector<std::uint64_t> PrefixHashes::all() const
{
    return {m_order.begin(), m_order.end()};
}

} // namespace foxtailring
