#include "Proof.h"

#include <cstdlib>
#include <iostream>

namespace foxtailring::harness {

namespace {

std::uint64_t variable(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text && *text ? std::strtoull(text, nullptr, 10) : fallback;
}

} // namespace

Proof::Proof(std::string point, std::string faults)
    : m_point(std::move(point))
    , m_faults(std::move(faults))
{
}

Proof::~Proof()
{
    std::cout << "\nPROOF " << m_point << '|' << m_faults << '|' << m_rounds << '|' << m_requests
              << '|' << m_wrong << '|' << m_unknown << std::endl;
}

void Proof::round()
{
    const std::lock_guard lock(m_mutex);
    ++m_rounds;
}

void Proof::request()
{
    const std::lock_guard lock(m_mutex);
    ++m_requests;
}

void Proof::wrong(std::string_view fault)
{
    const std::lock_guard lock(m_mutex);
    ++m_wrong;
    std::cout << "\nWRONG " << m_point << '|' << m_faults << "|seed " << seed() << '|' << fault
              << std::endl;
}

void Proof::unknown()
{
    const std::lock_guard lock(m_mutex);
    ++m_unknown;
}

std::size_t Proof::wrongCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_wrong;
}

std::uint64_t Proof::seed()
{
    return variable("FOXTAILRING_SEED", 1);
}

std::size_t Proof::rounds()
{
    return variable("FOXTAILRING_ROUNDS", 1);
}

} // namespace foxtailring::harness
