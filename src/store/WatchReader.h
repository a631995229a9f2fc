#pragma once

#include "foxtailring/store/WatchHooks.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Turns the bytes of a watch into its events; one JSON object a line.
class WatchReader
{
public:
    explicit WatchReader(WatchHooks hooks);

    void feed(std::string_view bytes);
    /// \brief The stream has ended; the ended hook runs unless it has run.
    void end(Error error);

private:
    void readLine(std::string_view line);
    std::optional<Error> readResult(std::string_view line);

    WatchHooks m_hooks;
    std::string m_pending;
    bool m_ended = false;
};

} // namespace foxtailring
