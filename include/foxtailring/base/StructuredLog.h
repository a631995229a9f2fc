#pragma once

#include <chrono>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace foxtailring {

/// \brief Writes one JSON log line per decision or state change to standard output. Thread-safe.
///
/// Lines are rate-limited per event; the next line of an event carries the number of lines omitted
/// before it. Logging never blocks on the reader of standard output: lines that do not fit the
/// buffer are dropped, and a logDropped line tells how many.
class StructuredLog
{
public:
    using Fields = std::initializer_list<std::pair<std::string_view, std::string>>;

    /// \brief Sets up log4cplus. Call once, before the first line.
    static void configure(std::string_view program, std::string_view nodeId);

    static void info(std::string_view event, Fields fields = {});
    static void warn(std::string_view event, Fields fields = {});

    /// \brief Waits up to \a timeout until the buffered lines are written; to be called before the
    /// process exits.
    static void flush(std::chrono::milliseconds timeout);
};

} // namespace foxtailring
