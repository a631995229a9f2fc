#pragma once

#include "foxtailring/base/Clock.h"

#include <cstddef>

namespace foxtailring {

/// \brief Spreads the full reads of a store that all processes of a fleet start at the same moment.
///
/// A store that was restored from a backup, or has dropped its history, is read again by all of
/// them at once, with several calls each.
class RereadPacing
{
public:
    /// \param readsPerSecond calls that the store takes from all processes together
    explicit RereadPacing(double readsPerSecond)
        : m_readsPerSecond(readsPerSecond)
    {
    }

    /// \brief Time within which each process starts its read at a random moment.
    /// \param calls that one read takes
    Duration spread(std::size_t processes, std::size_t calls) const;

private:
    const double m_readsPerSecond;
};

} // namespace foxtailring
