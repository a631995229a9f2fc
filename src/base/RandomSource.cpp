#include "foxtailring/base/RandomSource.h"

#include <cassert>

namespace foxtailring {

namespace {

void appendHex(std::string &out, std::uint64_t bits)
{
    constexpr char digits[] = "0123456789abcdef";
    for (int shift = 60; shift >= 0; shift -= 4)
        out += digits[(bits >> shift) & 0xf];
}

} // namespace

RandomSource::RandomSource(std::uint64_t seed)
    : m_engine(seed)
{
}

RandomSource RandomSource::fromEntropy()
{
    std::random_device device;
    const std::uint64_t high = device();
    return RandomSource(high << 32 | device());
}

std::uint64_t RandomSource::bounded(std::uint64_t bound)
{
    assert(bound > 0);
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_engine);
}

double RandomSource::generateDouble()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine);
}

std::string RandomSource::generateHexId()
{
    std::string id;
    appendHex(id, m_engine());
    appendHex(id, m_engine());
    return id;
}

} // namespace foxtailring
