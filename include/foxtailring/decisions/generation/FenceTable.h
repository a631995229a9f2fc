#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/generation/AttemptId.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace foxtailring {

/// \brief Rejects attempts that are older than the newest one of their request.
///
/// Not thread-safe.
class FenceTable
{
public:
    /// \param maxAge how long a request is remembered after its newest attempt
    explicit FenceTable(Duration maxAge);

    /// \brief Admits a new attempt. Stale if this or a newer one of the request was admitted
    /// before.
    Result<Done> admit(const AttemptId &id, TimePoint now);

    /// \brief Stale if a newer attempt of the request was admitted.
    Result<Done> check(const AttemptId &id) const;

    void expire(TimePoint now);
    std::size_t size() const { return m_requests.size(); }

private:
    struct Fence
    {
        std::uint32_t attempt = 0;
        TimePoint admittedAt;
    };

    Duration m_maxAge;
    std::unordered_map<std::string, Fence> m_requests;
};

} // namespace foxtailring
