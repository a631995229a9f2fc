#pragma once

#include "CompletionRequest.h"
#include "foxtailring/base/RandomSource.h"

#include <cstdint>
#include <mutex>
#include <string>

namespace foxtailring::fakes {

/// \brief Chooses the tag of each generation. A token's text is ` <tag>.<index>` and its id is tag
/// * 1000000 + index, so a reader can tell which generation and position it comes from.
/// Thread-safe.
class TokenSource
{
public:
    /// \param vary true: the tag differs between generations of the same prompt, as sampling does.
    TokenSource(std::uint64_t seed, bool vary);

    /// \brief Tag of a new generation, or that of the last resumed token.
    std::int64_t tagFor(const CompletionRequest &request);

    static std::int64_t tokenId(std::int64_t tag, std::size_t index);
    static std::string tokenText(std::int64_t tag, std::size_t index);
    /// \brief True when \a ids are the tokens 0, 1, 2, ... of one generation.
    static bool isOnePrefix(const std::vector<std::int64_t> &ids);

private:
    std::uint64_t m_seed;
    bool m_vary;
    std::mutex m_mutex;
    RandomSource m_random;
};

} // namespace foxtailring::fakes
