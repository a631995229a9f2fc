#pragma once

#include <cstdint>

namespace foxtailring::bench {

class Report;

/// \brief Waiting times and queues of routing policies under lagging reports.
void runRouting(Report &report, std::uint64_t seed);
/// \brief Demand at twice and four times the capacity: fair admission and plain queues.
void runOverload(Report &report, std::uint64_t seed);
/// \brief Load added by retries while half of the servers are down.
void runRetries(Report &report, std::uint64_t seed);
/// \brief Resumes and queues after one of three availability zones is lost.
void runZoneLoss(Report &report, std::uint64_t seed);
/// \brief Followers of each server, and what moves when names are replaced.
void runSubsets(Report &report, std::uint64_t seed);

} // namespace foxtailring::bench
