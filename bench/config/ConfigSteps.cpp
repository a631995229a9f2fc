#include "ConfigSteps.h"

#include <iomanip>
#include <nlohmann/json.hpp>
#include <numeric>
#include <sstream>

namespace foxtailring::bench {

double ConfigSteps::sum() const
{
    return std::accumulate(steps.begin(), steps.end(), 0.0, [](double total, const Step &step) {
        return total + step.milliseconds;
    });
}

std::string ConfigSteps::tableHead() const
{
    std::ostringstream out;
    out << "| routes | document bytes | answer bytes |";
    for (const Step &step : steps)
        out << " " << step.name << " |";
    out << " sum (ms) |\n|---|---|---|";
    for (std::size_t i = 0; i <= steps.size(); ++i)
        out << "---|";
    return out.str();
}

std::string ConfigSteps::tableRow() const
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(3);
    out << "| " << routes << " | " << documentBytes << " | " << answerBytes << " |";
    for (const Step &step : steps)
        out << " " << step.milliseconds << " |";
    out << " " << sum() << " |";
    return out.str();
}

std::string ConfigSteps::jsonLine() const
{
    nlohmann::json line = {{"routes", routes},
                           {"documentBytes", documentBytes},
                           {"answerBytes", answerBytes},
                           {"sumMs", sum()}};
    for (const Step &step : steps)
        line[std::string(step.name) + "Ms"] = step.milliseconds;
    return line.dump();
}

} // namespace foxtailring::bench
