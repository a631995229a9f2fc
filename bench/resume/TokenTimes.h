#pragma once

#include <chrono>
#include <optional>
#include <vector>

namespace foxtailring::bench {

using TimePoint = std::chrono::steady_clock::time_point;

double toMilliseconds(TimePoint::duration time);

/// \brief When the tokens of an answer arrived at its caller, and when a failure was injected.
class TokenTimes
{
public:
    void addToken();
    /// \brief To be called right before the failure is brought about.
    void setFailure();

    bool hasFailure() const { return m_failure.has_value(); }
    /// \brief Longest time between two tokens of which the later arrived after the failure, or of
    /// all tokens without one; in milliseconds. A gap starts at the failure at the earliest.
    double longestGap() const;
    /// \brief From the failure to the token that ends the longest gap, in milliseconds.
    double untilContinued() const;
    /// \brief From \a start to the first token, in milliseconds.
    double untilFirst(TimePoint start) const;
    /// \brief All times between two tokens, in milliseconds.
    std::vector<double> gaps() const;

private:
    struct Gap
    {
        TimePoint start;
        TimePoint end;
    };
    Gap longest() const;

    std::vector<TimePoint> m_tokens;
    std::optional<TimePoint> m_failure;
};

} // namespace foxtailring::bench
