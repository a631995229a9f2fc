#include "foxtailring/decisions/generation/Journal.h"

#include <algorithm>

namespace foxtailring {

namespace {

std::size_t tokenBytes(const Token &token)
{
    return sizeof(Token) + token.text.size();
}

std::size_t tokenBytes(std::span<const Token> tokens)
{
    std::size_t bytes = 0;
    for (const Token &token : tokens)
        bytes += tokenBytes(token);
    return bytes;
}

Error unknownAttempt(const AttemptId &id)
{
    return {ErrorCode::NotFound,
            "no journal of request " + id.requestId + ", attempt " + std::to_string(id.attempt)};
}

} // namespace

Journal::Journal(Limits limits)
    : m_limits(limits)
{
}

Result<Done> Journal::open(const AttemptId &id, std::string_view account, std::vector<Token> prefix)
{
    const std::lock_guard lock(m_mutex);
    if (m_records.contains(id))
        return Error {ErrorCode::Conflict, "the attempt has a journal already"};
    Record record;
    record.account = account;
    record.bytes = tokenBytes(prefix);
    record.acknowledged = prefix.size();
    record.tokens = std::move(prefix);
    m_bytes += record.bytes;
    m_records.emplace(id, std::move(record));
    evict();
    return Done {};
}

Result<std::uint64_t> Journal::append(const AttemptId &id, std::span<const Token> tokens)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_records.find(id);
    if (found == m_records.end())
        return unknownAttempt(id);
    Record &record = found->second;
    if (record.end)
        return Error {ErrorCode::Closed, "the attempt has ended"};
    const std::size_t added = tokenBytes(tokens);
    record.tokens.insert(record.tokens.end(), tokens.begin(), tokens.end());
    record.bytes += added;
    m_bytes += added;
    const std::uint64_t next = record.nextOffset();
    evict();
    return next;
}

void Journal::end(const AttemptId &id, AttemptEnd end, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_records.find(id);
    if (found == m_records.end() || found->second.end)
        return;
    if (found->second.finalAcknowledged)
        return erase(found);
    end.nextOffset = found->second.nextOffset();
    found->second.end = std::move(end);
    found->second.endedAt = now;
}

void Journal::acknowledge(const AttemptId &id, std::uint64_t nextOffset, bool final)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_records.find(id);
    if (found == m_records.end())
        return;
    Record &record = found->second;
    record.acknowledged = std::max(record.acknowledged, std::min(nextOffset, record.nextOffset()));
    record.finalAcknowledged = record.finalAcknowledged || final;
    if (record.end && record.finalAcknowledged)
        erase(found);
}

Result<Done> Journal::checkOffset(const Record &record, std::uint64_t fromOffset)
{
    if (fromOffset < record.firstOffset)
        return Error {ErrorCode::Incomplete,
                      "tokens before offset " + std::to_string(record.firstOffset)
                          + " are no longer held"};
    if (fromOffset > record.nextOffset())
        return Error {ErrorCode::InvalidArgument,
                      "offset " + std::to_string(fromOffset) + " is beyond the last token, "
                          + std::to_string(record.nextOffset())};
    return Done {};
}

Result<Done> Journal::checkAttach(const AttemptId &id, std::string_view account,
                                  std::uint64_t fromOffset) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_records.find(id);
    if (found == m_records.end())
        return unknownAttempt(id);
    if (found->second.account != account)
        return Error {ErrorCode::Forbidden, "the request belongs to another client account"};
    return checkOffset(found->second, fromOffset);
}

Result<JournalSlice> Journal::read(const AttemptId &id, std::uint64_t fromOffset,
                                   std::size_t maxTokens) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_records.find(id);
    if (found == m_records.end())
        return unknownAttempt(id);
    const Record &record = found->second;
    if (const auto ok = checkOffset(record, fromOffset); !ok)
        return ok.error();
    JournalSlice slice;
    slice.offset = fromOffset;
    const std::span<const Token> rest =
        std::span(record.tokens).subspan(fromOffset - record.firstOffset);
    const auto taken = rest.first(std::min(maxTokens, rest.size()));
    slice.tokens.assign(taken.begin(), taken.end());
    if (slice.nextOffset() == record.nextOffset())
        slice.end = record.end;
    return slice;
}

bool Journal::contains(const AttemptId &id) const
{
    const std::lock_guard lock(m_mutex);
    return m_records.contains(id);
}

void Journal::expire(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    for (auto record = m_records.begin(); record != m_records.end();) {
        const auto current = record++;
        if (current->second.end && current->second.endedAt + m_limits.retention <= now)
            erase(current);
    }
}

std::size_t Journal::attemptCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_records.size();
}

std::size_t Journal::unacknowledgedCount() const
{
    const std::lock_guard lock(m_mutex);
    const auto count =
        std::count_if(m_records.begin(), m_records.end(), [](const Records::value_type &entry) {
            const Record &record = entry.second;
            return !record.end || record.end->finished || record.acknowledged < record.nextOffset();
        });
    return static_cast<std::size_t>(count);
}

std::size_t Journal::bytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_bytes;
}

bool Journal::isFull() const
{
    const std::lock_guard lock(m_mutex);
    return m_bytes > m_limits.maxBytes;
}

std::uint64_t Journal::evictedTokens() const
{
    const std::lock_guard lock(m_mutex);
    return m_evictedTokens;
}

void Journal::erase(Records::iterator record)
{
    m_bytes -= record->second.bytes;
    m_records.erase(record);
}

// Unacknowledged tokens of running attempts exist nowhere else, so they are kept even above
// maxBytes; the sidecar then refuses new attempts.
void Journal::evict()
{
    while (m_bytes > m_limits.maxBytes) {
        if (!evictOldestEnded() && !trimAcknowledged())
            return;
    }
}

bool Journal::evictOldestEnded()
{
    auto oldest = m_records.end();
    for (auto record = m_records.begin(); record != m_records.end(); ++record) {
        if (!record->second.end)
            continue;
        if (oldest == m_records.end() || record->second.endedAt < oldest->second.endedAt)
            oldest = record;
    }
    if (oldest == m_records.end())
        return false;
    m_evictedTokens += oldest->second.tokens.size();
    erase(oldest);
    return true;
}

// Drops the acknowledged tokens of the running attempt that has most of them: its entry has
// a copy.
bool Journal::trimAcknowledged()
{
    const auto trimmable = [](const Records::value_type &entry) {
        return entry.second.acknowledged - entry.second.firstOffset;
    };
    const auto largest =
        std::max_element(m_records.begin(), m_records.end(),
                         [&](const auto &a, const auto &b) { return trimmable(a) < trimmable(b); });
    if (largest == m_records.end() || trimmable(*largest) == 0)
        return false;
    Record &record = largest->second;
    const auto count = static_cast<std::ptrdiff_t>(trimmable(*largest));
    const std::size_t freed = tokenBytes(std::span(record.tokens).first(trimmable(*largest)));
    record.tokens.erase(record.tokens.begin(), record.tokens.begin() + count);
    record.firstOffset += static_cast<std::uint64_t>(count);
    record.bytes -= freed;
    m_bytes -= freed;
    m_evictedTokens += static_cast<std::uint64_t>(count);
    return true;
}

} // namespace foxtailring
