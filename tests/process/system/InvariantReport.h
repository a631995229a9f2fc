#pragma once

#include "Answer.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace foxtailring::harness {

/// \brief Counts the requests and violations of a test and prints them as one line that tools/prove
/// reads. Thread-safe.
class InvariantReport
{
public:
    /// \param group name of the test group
    /// \param faults description of the faults that the test injects
    InvariantReport(std::string group, std::string faults);
    /// \brief Prints `PROOF point|faults|rounds|requests|wrong|unknown`.
    ~InvariantReport();
    InvariantReport(const InvariantReport &) = delete;
    InvariantReport &operator=(const InvariantReport &) = delete;

    void addRound();
    void addRequest();
    /// \brief Counts and prints a violation.
    void addViolation(std::string_view violation);
    void addUnknownOutcome();
    std::size_t violationCount() const;

    /// \brief Random seed of all process tests: FOXTAILRING_SEED, default 1.
    static std::uint64_t seed();
    /// \brief Number of rounds of each test: FOXTAILRING_ROUNDS, default 1.
    static std::size_t roundCount();

private:
    const std::string m_group;
    const std::string m_faults;
    mutable std::mutex m_mutex; // guards the counts
    std::size_t m_rounds = 0;
    std::size_t m_requests = 0;
    std::size_t m_violations = 0;
    std::size_t m_unknownOutcomes = 0;
};

} // namespace foxtailring::harness
