#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/AttemptEnd.h"
#include "foxtailring/decisions/AttemptId.h"
#include "foxtailring/decisions/JournalSlice.h"
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

/// \brief Tokens of each attempt, until its end is acknowledged or a retention time has passed.
///
/// Thread-safe. Holds the whole answer of an attempt, the prefix it started with included.
class Journal
{
public:
    struct Limits
    {
        Duration retention = std::chrono::minutes(2); ///< after the end of an attempt
        std::size_t maxBytes = 64 * 1024 * 1024;
    };

    explicit Journal(Limits limits);

    /// \brief Starts the record of an attempt. Conflict when there is one.
    Result<Done> open(const AttemptId &id, std::string_view account, std::vector<Token> prefix);

    /// \brief Adds tokens and returns the next offset. NotFound when the record is gone, Closed
    /// after the end.
    Result<std::uint64_t> append(const AttemptId &id, std::span<const Token> tokens);

    /// \brief Records the end; a second one is ignored. \a end's nextOffset is set here.
    void end(const AttemptId &id, AttemptEnd end, TimePoint now);

    /// \brief An entry has every token before \a nextOffset. With \a final the record is dropped
    /// once the attempt has ended.
    void acknowledge(const AttemptId &id, std::uint64_t nextOffset, bool final);

    /// \brief Checks that \a account may read the attempt from \a fromOffset.
    ///
    /// NotFound: no record. Forbidden: it belongs to another client account. Incomplete: tokens
    /// from there on were dropped. InvalidArgument: the offset is beyond the end.
    Result<Done> checkAttach(const AttemptId &id, std::string_view account,
                             std::uint64_t fromOffset) const;

    /// \brief At most \a maxTokens tokens from \a fromOffset. Errors as in checkAttach().
    Result<JournalSlice> read(const AttemptId &id, std::uint64_t fromOffset,
                              std::size_t maxTokens) const;

    bool contains(const AttemptId &id) const;

    /// \brief Drops ended attempts whose retention time has passed.
    void expire(TimePoint now);

    std::size_t attemptCount() const;
    /// \brief Attempts that run, finished ones without a final acknowledgement, and failed ones of
    /// which no entry has every token.
    std::size_t unacknowledgedCount() const;
    std::size_t bytes() const;
    /// \brief Over the bound, with nothing left that may be dropped.
    bool isFull() const;
    /// \brief Tokens dropped to stay within the bound.
    std::uint64_t evictedTokens() const;

private:
    struct Record
    {
        std::string account;
        std::uint64_t firstOffset = 0; ///< index of the first token held
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
