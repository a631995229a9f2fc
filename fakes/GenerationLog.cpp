#include "GenerationLog.h"

namespace foxtailring::fakes {

namespace {

constexpr std::size_t maxRecords = 20'000;

} // namespace

std::uint64_t GenerationLog::start(nlohmann::json record)
{
    const std::lock_guard lock(m_mutex);
    record["id"] = ++m_started;
    m_counters["generationsStarted"] = m_started;
    m_records.push_back(std::move(record));
    if (m_records.size() > maxRecords)
        m_records.pop_front();
    return m_started;
}

void GenerationLog::update(std::uint64_t id, const nlohmann::json &changes)
{
    const std::lock_guard lock(m_mutex);
    const std::uint64_t age = m_started - id;
    if (age < m_records.size())
        m_records[m_records.size() - 1 - age].update(changes);
}

void GenerationLog::count(const char *name, std::uint64_t amount)
{
    const std::lock_guard lock(m_mutex);
    m_counters[name] = m_counters[name].get<std::uint64_t>() + amount;
}

nlohmann::json GenerationLog::stats()
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json stats = m_counters;
    stats["requests"] = m_records;
    return stats;
}

} // namespace foxtailring::fakes
