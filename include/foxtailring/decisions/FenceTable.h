#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/AttemptId.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace foxtailring {

/// \brief Highest attempt seen for each request. Not thread-safe.
class FenceTable
{
public:
    /// \param maxAge how long a request is remembered after its latest attempt
    explicit FenceTable(Duration maxAge);

    /// \brief Takes a new attempt. Stale when this or a newer one of the request was taken before.
    Result<Done> admit(const AttemptId &id, TimePoint now);

    /// \brief Stale when a newer attempt of the request is known.
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
