#include "foxtailring/decisions/membership/FleetBudget.h"

#include <algorithm>
#include <cmath>

namespace foxtailring {

namespace {

// One that reads a burst holds back for as long as the burst takes of the budget.
constexpr double timeConstantSeconds = 5;
// From this part of the budget on, each process keeps to its own share.
constexpr double shareFrom = 0.1;
// What can wait leaves the rest to urgent writes and to what is on its way.
constexpr double waitingPart = 0.35;
constexpr double urgentPart = 0.75; ///< the rest is for what is on its way
constexpr std::chrono::seconds minUrgentInterval {1};
constexpr std::chrono::seconds maxUrgentInterval {5};
// In a turn a process may write about this many bytes. Processes look four times a second.
constexpr std::size_t turnBytes = 3000;
constexpr double turnSeconds = 0.3;
// Beyond, what can wait is too old to be of use.
constexpr std::chrono::seconds maxPause {30};
// Names and numbers around a value in an answer of the store.
constexpr std::size_t eventBytes = 110;

} // namespace

FleetBudget::FleetBudget(double bytesPerSecond, double phase)
    : m_bytesPerSecond(bytesPerSecond)
    , m_phase(phase)
{
}

// Values are base64 text.
std::size_t FleetBudget::wireBytes(std::size_t valueBytes)
{
    return (valueBytes + 2) / 3 * 4 + eventBytes;
}

void FleetBudget::recordRead(std::size_t bytes, TimePoint now)
{
    m_rate = readRate(now) + static_cast<double>(bytes) / timeConstantSeconds;
    m_rateAt = now;
}

void FleetBudget::recordWrite(std::size_t bytes, TimePoint now)
{
    const bool keepsToShare = readRate(now) > shareFrom * m_bytesPerSecond;
    const Duration share = keepsToShare ? spread(bytes) : Duration {0};
    m_mayWriteAt = now + share;
    m_mayWriteUrgentAt =
        now + std::clamp<Duration>(spread(bytes), minUrgentInterval, maxUrgentInterval);
}

bool FleetBudget::mayWrite(TimePoint now) const
{
    const double rate = readRate(now);
    if (rate <= shareFrom * m_bytesPerSecond)
        return now >= m_mayWriteAt;
    return now >= m_mayWriteAt && rate <= waitingPart * m_bytesPerSecond && hasTurn(now);
}

// All processes see at the same time that there is room again.
bool FleetBudget::hasTurn(TimePoint now) const
{
    const std::chrono::duration<double> round = spread(turnBytes);
    const std::chrono::duration<double> time = now.time_since_epoch();
    const double position = std::fmod(time.count() / round.count() + m_phase, 1);
    return position * round.count() <= turnSeconds;
}

bool FleetBudget::mayWriteUrgent(TimePoint now) const
{
    return readRate(now) <= urgentPart * m_bytesPerSecond || now >= m_mayWriteUrgentAt;
}

Duration FleetBudget::spread(std::size_t bytes) const
{
    const std::chrono::duration<double> time(static_cast<double>(m_processes)
                                             * static_cast<double>(bytes) / m_bytesPerSecond);
    return std::min(std::chrono::duration_cast<Duration>(time), Duration(maxPause));
}

double FleetBudget::readRate(TimePoint now) const
{
    const std::chrono::duration<double> passed = now - m_rateAt;
    return m_rate * std::exp(-passed.count() / timeConstantSeconds);
}

} // namespace foxtailring
