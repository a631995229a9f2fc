#pragma once

#include "AddedLatency.h"
#include "Failure.h"
#include "ResumeRow.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace foxtailring::bench {

/// \brief Runs the rounds of all kinds of failure and prints what they show.
class ResumeBench
{
public:
    ResumeBench(std::size_t rounds, std::uint64_t seed);

    void run();
    void print() const;
    /// \brief Whether every answer was whole and output went on within the users' bound.
    bool isWithinBound() const { return m_violations == 0; }

private:
    void runFailure(const Failure &failure);
    void check(const Failure &failure, std::size_t atToken, const RoundResult &result);
    void report(const Failure &failure, std::size_t atToken, const std::string &fault);

    std::size_t m_rounds;
    std::uint64_t m_seed;
    std::size_t m_violations = 0;
    std::vector<ResumeRow> m_rows; // the rounds without a failure first
    AddedLatency m_added;
};

} // namespace foxtailring::bench
