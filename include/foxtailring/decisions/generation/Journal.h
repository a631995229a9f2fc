#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/generation/AttemptEnd.h"
#include "foxtailring/decisions/generation/AttemptId.h"
#include "foxtailring/decisions/generation/JournalSlice.h"
#include "foxtailring/protocol/Token.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief Keeps the tokens of each attempt until its end is acknowledged or its retention expires.
///
/// A record holds the whole answer, including the prefix that the attempt started with.
/// Thread-safe.
class Journal
{
public:
    struct Limits
    {
        Duration retention = std::chrono::minutes(2); ///< after the end of an attempt
        std::size_t maxBytes = 64 * 1024 * 1024;
    };

    explicit Journal(Limits limits);

    /// \brief Creates the record of an attempt. Conflict if there is one already.
    Result<Done> open(const AttemptId &id, std::string_view account, std::vector<Token> prefix);

    /// \brief Appends tokens and returns the next offset. NotFound if there is no record, Closed
    /// after the end.
    Result<std::uint64_t> append(const AttemptId &id, std::span<const Token> tokens);

    /// \brief Records the end, with its nextOffset filled in. A second end is ignored.
    void end(const AttemptId &id, AttemptEnd end, TimePoint now);

    /// \brief Records that the entry has every token before \a nextOffset. With \a final the record
    /// is dropped as soon as the attempt has ended.
    void acknowledge(const AttemptId &id, std::uint64_t nextOffset, bool final);

    /// \brief Checks that \a account may read the attempt from \a fromOffset.
    ///
    /// NotFound: no record. Forbidden: it belongs to another client account. Incomplete: tokens
    /// from there on were evicted. InvalidArgument: the offset is beyond the last token.
    Result<Done> checkAttach(const AttemptId &id, std::string_view account,
                             std::uint64_t fromOffset) const;

    /// \brief Returns at most \a maxTokens tokens from \a fromOffset. Fails like checkAttach(), but
    /// never with Forbidden.
    Result<JournalSlice> read(const AttemptId &id, std::uint64_t fromOffset,
                              std::size_t maxTokens) const;

    bool contains(const AttemptId &id) const;

    /// \brief Drops ended attempts whose retention has expired.
    void expire(TimePoint now);

    std::size_t attemptCount() const;
    /// \brief Number of running attempts, finished ones without a final acknowledgement, and failed
    /// ones whose tokens are not all acknowledged.
    std::size_t unacknowledgedCount() const;
    std::size_t bytes() const;
    /// \brief True if over maxBytes although everything that may be evicted was.
    bool isFull() const;
    /// \brief Number of tokens evicted so far to stay within maxBytes.
    std::uint64_t evictedTokens() const;

private:
    struct Record
    {
        std::string account;
        std::uint64_t firstOffset = 0; ///< index in the answer of the first token held
        std::vector<Token> tokens;
        std::size_t bytes = 0;
        std::uint64_t acknowledged = 0; ///< next offset
        bool finalAcknowledged = false;
        std::optional<AttemptEnd> end;
        TimePoint endedAt;

        std::uint64_t nextOffset() const { return firstOffset + tokens.size(); }
    };
    using Records = std::map<AttemptId, Record>;

    static Result<Done> checkOffset(const Record &record, std::uint64_t fromOffset);
    void erase(Records::iterator record);
    void evict();
    bool evictOldestEnded();
    bool trimAcknowledged();

    const Limits m_limits;
    mutable std::mutex m_mutex;
    Records m_records;
    std::size_t m_bytes = 0;
    std::uint64_t m_evictedTokens = 0;
};

} // namespace foxtailring
