#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/servers/SpeedReading.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

struct BackendInfo;

/// \brief How long runs take at each engine, relative to what is usual for its service.
///
/// The speed is one of the VM, so it is kept by service and address and outlives restarts of the
/// engine. One process sees too few runs at each engine of a large fleet, so processes report to
/// each other what they observed. Not thread-safe.
class EngineSpeeds
{
public:
    /// \brief A run at the engine had this typical time between its events.
    void recordRun(const BackendInfo &server, Duration eventInterval);
    /// \brief Takes over what another process observed, in place of its earlier report.
    void recordReport(std::string_view reporter, std::span<const SpeedReading> readings);
    /// \brief Drops the report of a process that is gone.
    void forgetReporter(std::string_view reporter);

    /// \brief What this process itself observed, sorted by service and address.
    std::vector<SpeedReading> ownReadings() const;
    /// \brief Number of engines that this process itself observed.
    std::size_t ownCount() const;
    /// \brief Number of engines of which any process observed a run.
    std::size_t engineCount() const;
    /// \brief What the other processes observed of the engine of \a own, a reading of this one.
    SpeedReading others(const SpeedReading &own) const;
    /// \brief Processes whose reports are known.
    std::vector<std::string> reporters() const;
    /// \brief What all processes observed of the engine, this one included; no runs: nothing.
    SpeedReading merged(std::string_view service, std::string_view address) const;
    /// \brief How long a run takes at the engine, as a multiple of what is usual for its service;
    /// about 1 if little is known.
    double relativeDuration(const BackendInfo &server) const;

private:
    /// The runs at one engine that all processes observed. Intervals are taken as logarithms: one
    /// that is far too long counts as little as one that is far too short.
    struct Engine
    {
        double weightedLog = 0; ///< sum of the logarithms of seconds
        std::uint32_t runs = 0;

        double meanLog() const { return runs == 0 ? 0 : weightedLog / runs; }
    };
    struct Service
    {
        std::map<std::string, Engine, std::less<>> engines; ///< by address
        double sumOfMeans = 0;
    };
    using Readings = std::map<std::string, SpeedReading, std::less<>>; ///< by address

    enum class Change : std::uint8_t { Add, Remove };
    void apply(const SpeedReading &reading, Change change);

    std::map<std::string, Readings, std::less<>> m_own;                      ///< by service
    std::map<std::string, std::vector<SpeedReading>, std::less<>> m_reports; ///< by reporter
    std::map<std::string, Service, std::less<>> m_services;
};

} // namespace foxtailring
