#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/ClaimRecord.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief The claims of one bucket, stored as one JSON document. Not thread-safe.
class ClaimDocument
{
public:
    /// \brief Malformed unless \a json is empty or a document of toJson().
    static Result<ClaimDocument> fromJson(std::string_view json);
    std::string toJson() const;

    /// \brief nullptr when there is none.
    const ClaimRecord *find(const std::string &key) const;
    void set(const std::string &key, ClaimRecord record);
    void erase(const std::string &key);
    std::size_t size() const { return m_claims.size(); }

    /// \brief Drops claims whose last change is at or before \a unixSeconds.
    void expire(std::int64_t unixSeconds);
    /// \brief The JSON, after dropping stored answers, oldest first, until it has at most
    /// \a maxBytes.
    ///
    /// Outcomes stay, so no call can run again. Nothing when it is larger even so.
    std::optional<std::string> shrinkToJson(std::size_t maxBytes);

private:
    std::map<std::string, ClaimRecord> m_claims;
};

} // namespace foxtailring
