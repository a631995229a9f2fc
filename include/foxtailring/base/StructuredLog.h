#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace foxtailring {

/// \brief JSON log lines through log4cplus, one for each decision and each change of state.
///
/// The lines of each event are bounded; those left out are counted in its next line. Writing never
/// waits for the reader of standard output.
class StructuredLog
{
public:
    using Fields = std::initializer_list<std::pair<std::string_view, std::string>>;

    /// \brief Sends all lines of this process to standard output. Call once, before the first line.
    static void configure(std::string_view program, std::string_view nodeId);

    static void info(std::string_view event, Fields fields = {});
    static void warn(std::string_view event, Fields fields = {});
};

} // namespace foxtailring
