#pragma once

#include "foxtailring/decisions/claims/ClaimTable.h"

#include <map>
#include <string>
#include <vector>

/// \brief Collects the actions of a ClaimTable by type and provides clocks that tests control.
struct ClaimDriver
{
    explicit ClaimDriver(std::uint64_t incarnation, foxtailring::ClaimLimits limits = {})
        : table(incarnation, limits)
    {
    }

    void collect(const foxtailring::ClaimActions &actions)
    {
        for (const auto &action : actions) {
            if (const auto *read = std::get_if<foxtailring::ReadBucket>(&action))
                reads.push_back(*read);
            else if (const auto *swap = std::get_if<foxtailring::SwapBucket>(&action))
                swaps.push_back(*swap);
            else if (const auto *send = std::get_if<foxtailring::SendCall>(&action))
                sends.push_back(*send);
            else if (const auto *answer = std::get_if<foxtailring::AnswerCall>(&action))
                answers[answer->callId] = *answer;
        }
    }

    void advance(std::chrono::milliseconds time)
    {
        now.monotonic += time;
        milliseconds += time.count();
        now.unixSeconds = milliseconds / 1000;
    }

    foxtailring::ClaimTable table;
    foxtailring::ClockReadings now {foxtailring::TimePoint() + std::chrono::hours(1),
                                    1'700'000'000};
    std::int64_t milliseconds = 1'700'000'000'000;
    std::vector<foxtailring::ReadBucket> reads;
    std::vector<foxtailring::SwapBucket> swaps;
    std::vector<foxtailring::SendCall> sends;
    std::map<std::uint64_t, foxtailring::AnswerCall> answers; ///< by call id
};
