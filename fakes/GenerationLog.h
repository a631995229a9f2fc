#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>

namespace foxtailring::fakes {

/// \brief Counters of the engine and one record for each of the latest requests. Thread-safe.
class GenerationLog
{
public:
    /// \brief Adds \a record to the log, with its id; returns the id.
    std::uint64_t start(nlohmann::json record);
    /// \brief Merges \a changes into the record of \a id.
    void update(std::uint64_t id, const nlohmann::json &changes);
    /// \brief Adds \a amount to the counter \a name.
    void count(const char *name, std::uint64_t amount);
    /// \brief The counters, and the records as `requests`.
    nlohmann::json stats();

private:
    std::mutex m_mutex;
    std::uint64_t m_started = 0;
    nlohmann::json m_counters = {
        {"generationsStarted", 0},  {"tokensProduced", 0}, {"prefillTokensComputed", 0},
        {"prefillTokensCached", 0}, {"cancelled", 0},      {"finished", 0}};
    std::deque<nlohmann::json> m_records;
};

} // namespace foxtailring::fakes
