#pragma once

#include "foxtailring/base/Clock.h"

#include <cstddef>

namespace foxtailring {

/// \brief Bounds what the processes of a fleet write for each other, in bytes a second at each
/// reader. Not thread-safe.
///
/// Each process reads what all others write, so the bytes at a reader grow with the fleet. While
/// little is written, a process writes at once. Beyond that, what can wait is written at the
/// process's own share of the budget, and the rest once in one to five seconds.
class FleetBudget
{
public:
    /// \param bytesPerSecond at a reader, of the whole fleet
    /// \param phase of this process, from 0 to 1: when its turns come
    explicit FleetBudget(double bytesPerSecond, double phase = 0);

    void setProcessCount(std::size_t processes) { m_processes = processes; }
    std::size_t processCount() const { return m_processes; }

    /// \brief Bytes on the wire of a value in the store.
    static std::size_t wireBytes(std::size_t valueBytes);

    /// \brief A process, this one or another, wrote \a bytes.
    void recordRead(std::size_t bytes, TimePoint now);
    /// \brief This process writes \a bytes.
    void recordWrite(std::size_t bytes, TimePoint now);
    /// \brief True if this process may write now what can wait.
    bool mayWrite(TimePoint now) const;
    /// \brief True if this process may write now what decides on requests.
    bool mayWriteUrgent(TimePoint now) const;
    /// \brief Time in which all processes may write \a bytes each; 30 s at most.
    Duration spread(std::size_t bytes) const;
    /// \brief Bytes a second lately.
    double readRate(TimePoint now) const;

private:
    bool hasTurn(TimePoint now) const;

    const double m_bytesPerSecond;
    const double m_phase;
    std::size_t m_processes = 1;
    double m_rate = 0; ///< at m_rateAt
    TimePoint m_rateAt;
    TimePoint m_mayWriteAt;
    TimePoint m_mayWriteUrgentAt; ///< beyond the budget
};

} // namespace foxtailring
