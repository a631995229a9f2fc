#include "InvariantReport.h"

#include <cstdlib>
#include <iostream>

namespace foxtailring::harness {

namespace {

std::uint64_t environmentNumber(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text && *text ? std::strtoull(text, nullptr, 10) : fallback;
}

} // namespace

InvariantReport::InvariantReport(std::string group, std::string faults)
    : m_group(std::move(group))
    , m_faults(std::move(faults))
{
}

InvariantReport::~InvariantReport()
{
    std::cout << "\nPROOF " << m_group << '|' << m_faults << '|' << m_rounds << '|' << m_requests
              << '|' << m_violations << '|' << m_unknownOutcomes << std::endl;
}

void InvariantReport::addRound()
{
    const std::lock_guard lock(m_mutex);
    ++m_rounds;
}

void InvariantReport::addRequest()
{
    const std::lock_guard lock(m_mutex);
    ++m_requests;
}

void InvariantReport::addViolation(std::string_view violation)
{
    const std::lock_guard lock(m_mutex);
    ++m_violations;
    std::cout << "\nWRONG " << m_group << '|' << m_faults << "|seed " << seed() << '|' << violation
              << std::endl;
}

void InvariantReport::addUnknownOutcome()
{
    const std::lock_guard lock(m_mutex);
    ++m_unknownOutcomes;
}

std::size_t InvariantReport::violationCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_violations;
}

std::uint64_t InvariantReport::seed()
{
    return environmentNumber("FOXTAILRING_SEED", 1);
}

std::size_t InvariantReport::roundCount()
{
    return environmentNumber("FOXTAILRING_ROUNDS", 1);
}

} // namespace foxtailring::harness
