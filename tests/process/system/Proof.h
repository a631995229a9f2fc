#pragma once

#include "Answer.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace foxtailring::harness {

/// \brief Counts what a test has shown and prints it as one line that tools/prove reads.
/// Thread-safe.
class Proof
{
public:
    /// \param point name of the test group
    /// \param faults the faults that the test brings about
    Proof(std::string point, std::string faults);
    /// \brief Prints `PROOF point|faults|rounds|requests|wrong|unknown`.
    ~Proof();
    Proof(const Proof &) = delete;
    Proof &operator=(const Proof &) = delete;

    void round();
    void request();
    /// \brief Counts and prints a violation.
    void wrong(std::string_view fault);
    void unknown();
    std::size_t wrongCount() const;

    /// \brief Seed of the random choices of all process tests: FOXTAILRING_SEED, or 1.
    static std::uint64_t seed();
    /// \brief How often each fault is brought about: FOXTAILRING_ROUNDS, or 1.
    static std::size_t rounds();

private:
    const std::string m_point;
    const std::string m_faults;
    mutable std::mutex m_mutex; // guards the counts
    std::size_t m_rounds = 0;
    std::size_t m_requests = 0;
    std::size_t m_wrong = 0;
    std::size_t m_unknown = 0;
};

} // namespace foxtailring::harness
