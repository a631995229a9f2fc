#pragma once

#include "foxtailring/store/WatchHooks.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Decodes the body of an etcd watch, one JSON object per line, into events.
class WatchReader
{
public:
    /// \param epoch of the store in which the watch starts; another one ends it with Stale
    WatchReader(WatchHooks hooks, std::int64_t epoch);

    void feed(std::string_view bytes);
    /// \brief Ends the watch with \a error; only the first call runs WatchHooks::onEnded.
    void end(Error error);

private:
    void readLine(std::string_view line);
    std::optional<Error> readResult(std::string_view line);

    WatchHooks m_hooks;
    const std::int64_t m_epoch;
    std::string m_pending;
    bool m_isEnded = false;
};

} // namespace foxtailring
