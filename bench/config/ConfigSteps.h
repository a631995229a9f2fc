#pragma once

#include <array>
#include <cstddef>
#include <string>

namespace foxtailring::bench {

/// \brief Processor time of one configuration, from the store's answer to its effect.
struct ConfigSteps
{
    struct Step
    {
        const char *name;
        double milliseconds; ///< median of the rounds
    };

    std::size_t routes = 0;
    std::size_t documentBytes = 0;
    std::size_t answerBytes = 0;
    std::array<Step, 9> steps {};

    double sum() const;
    std::string tableRow() const;
    std::string jsonLine() const;
    std::string tableHead() const;
};

} // namespace foxtailring::bench
