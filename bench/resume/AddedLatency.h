#pragma once

#include <cstddef>
#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace foxtailring::bench {

/// \brief Time to the first token and between tokens, through entry and sidecar and directly from
/// the engine stand-in, without failures; in milliseconds.
class AddedLatency
{
public:
    /// \brief Starts a system and sends \a requests requests each way, by turns. Throws
    /// std::runtime_error when an answer is not whole.
    void measure(std::size_t requests);
    void printTable(std::ostream &out) const;
    void printJsonLines(std::ostream &out) const;

private:
    struct Way
    {
        std::string name;
        std::vector<double> first;
        std::vector<double> gaps;
    };
    static void send(Way &way, std::uint16_t port, const std::string &prompt);

    Way m_direct {"direct", {}, {}};
    Way m_served {"foxtailring", {}, {}};
};

} // namespace foxtailring::bench
