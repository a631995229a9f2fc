#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/claims/ClaimRecord.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Claims of one bucket, stored as one JSON document. Not thread-safe.
class ClaimDocument
{
public:
    /// \brief Parses the output of toJson(); an empty \a json gives an empty document.
    ///
    /// Malformed for any other text.
    static Result<ClaimDocument> fromJson(std::string_view json);
    std::string toJson() const;

    /// \brief Returns nullptr if the document has no claim for \a key.
    const ClaimRecord *find(const std::string &key) const;
    void set(const std::string &key, ClaimRecord record);
    void erase(const std::string &key);
    std::size_t size() const { return m_claims.size(); }
    const std::map<std::string, ClaimRecord> &claims() const { return m_claims; } ///< by key

    /// \brief Removes claims last updated at or before \a unixSeconds.
    void expire(std::int64_t unixSeconds);
    /// \brief Drops stored answers, oldest first, until the JSON has at most \a maxBytes.
    ///
    /// Returns that JSON, or nothing if it is too large even without answers. Outcomes are kept, so
    /// that no call runs again.
    std::optional<std::string> shrinkToJson(std::size_t maxBytes);

private:
    std::map<std::string, ClaimRecord> m_claims;
};

} // namespace foxtailring
