#pragma once

#include "RoundResult.h"

#include <cstddef>
#include <ostream>
#include <string>
#include <vector>

namespace foxtailring::bench {

/// \brief The rounds of one kind of failure and one kind of caller.
class ResumeRow
{
public:
    ResumeRow(std::string failure, std::string caller);

    void add(const RoundResult &result);
    double longestWait() const;
    /// \brief Mean work of a round.
    Work work() const;

    static void printHead(std::ostream &out);
    /// \param tokens of the answer
    /// \param undisturbed mean work of a round without a failure
    void printRow(std::ostream &out, std::size_t tokens, const Work &undisturbed) const;
    void printJsonLine(std::ostream &out, std::size_t tokens, const Work &undisturbed) const;

private:
    struct Extra
    {
        double tokens = 0;  // for each token of the answer
        double prefill = 0; // for each token of the answer
        double load = 0;    // total work for that of a round without a failure
    };
    Extra extra(std::size_t tokens, const Work &undisturbed) const;

    std::string m_failure;
    std::string m_caller;
    std::vector<double> m_waits; // in milliseconds
    Work m_sum;
};

} // namespace foxtailring::bench
