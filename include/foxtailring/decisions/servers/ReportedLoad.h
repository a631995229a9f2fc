#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/servers/LoadFigures.h"

#include <cstdint>
#include <optional>

namespace foxtailring {

/// \brief The latest figures of a backend server, each with its own time, since an answer may give
/// some of them only.
struct ReportedLoad
{
    struct Figure
    {
        std::optional<std::uint32_t> value;
        TimePoint at; ///< when it arrived
    };

    Figure running;
    Figure waiting;
    Figure slots;

    /// \brief Takes over the figures that \a figures gives.
    void update(const LoadFigures &figures, TimePoint now)
    {
        set(running, figures.running, now);
        set(waiting, figures.waiting, now);
        set(slots, figures.slots, now);
    }

private:
    static void set(Figure &figure, std::optional<std::uint32_t> value, TimePoint now)
    {
        if (value)
            figure = {value, now};
    }
};

} // namespace foxtailring
