#include "CapacityBench.h"
#include "foxtailring/decisions/quarantine/RequestQuarantine.h"
#include "foxtailring/protocol/RequestDigest.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace foxtailring::bench {

namespace {

using Quarantine = RequestQuarantine;

constexpr double sizes[] = {64, 256, 1024};
constexpr double targetSuspects = 1024;
constexpr std::size_t lostTogether = 30; ///< slots and queue of one server

/// A table full of suspects. Each call has one.
struct FullTable
{
    /// \param crashes of each suspect. All servers fail at the same moments, so that no suspect is
    /// quarantined and each is judged anew whenever one is cleared.
    FullTable(std::size_t size, std::size_t crashes)
        : size(size)
        , quarantine(settingsFor(size))
    {
        for (std::size_t crash = 0; crash < crashes; ++crash) {
            now += std::chrono::seconds(1); // moments of their own
            for (std::size_t i = 0; i < size; ++i)
                recordCrash(i, std::to_string(i / lostTogether) + '@' + std::to_string(crash));
        }
    }

    static Quarantine::Settings settingsFor(std::size_t size)
    {
        Quarantine::Settings settings;
        settings.maxSuspects = size;
        return settings;
    }

    void recordCrash(std::size_t suspect, const std::string &incarnation)
    {
        const std::string digest = digestOf(suspect);
        quarantine.recordCrash(incarnation, {&digest, 1}, now);
    }
    void recordStart(std::size_t suspect)
    {
        const std::string digest = digestOf(suspect);
        quarantine.recordStart({&digest, 1}, now);
    }
    static std::string digestOf(std::size_t suspect)
    {
        const std::string content = std::to_string(suspect);
        const std::string_view field = content;
        return RequestDigest::of(std::span(&field, 1));
    }

    /// The oldest suspect makes room.
    double crashOfNewSuspect()
    {
        return cpuMicroseconds([&] {
            advance();
            recordCrash(size + next, std::to_string(next / lostTogether) + "@new");
        });
    }
    double admitUnknown()
    {
        return cpuMicroseconds([&] { admit(size + next++); });
    }
    double admitSuspect()
    {
        return cpuMicroseconds([&] { admit(next++ % size); });
    }
    double startOfUnknown()
    {
        return cpuMicroseconds([&] {
            advance();
            recordStart(size + next);
        });
    }
    /// Suspects are cleared, up to a quarter of the table, which is then as before.
    double startOfSuspect()
    {
        const Quarantine before = quarantine;
        std::optional<Quarantine> cleared;
        return cpuMicroseconds([&] {
            if (next % (size / 4) == 0)
                cleared.emplace(before);
            advance();
            const std::string digest = digestOf(next % size);
            cleared->recordStart({&digest, 1}, now);
        });
    }

    void admit(std::size_t suspect)
    {
        const std::string digest = digestOf(suspect);
        sink += quarantine.admit({&digest, 1}, now) == Quarantine::Admission::Rejected ? 1 : 0;
    }
    void advance()
    {
        ++next;
        now += std::chrono::microseconds(1);
    }

    const std::size_t size;
    TimePoint now = TimePoint {} + std::chrono::hours(1);
    std::size_t next = 0;
    std::size_t sink = 0; ///< keeps results in use
    Quarantine quarantine;
};

Slope slopeOf(const std::string &quantity)
{
    return {"RequestQuarantine: " + quantity, "us", "suspects", {}, {}, targetSuspects};
}

void addTo(std::vector<Slope> &slopes, std::size_t size, std::size_t crashes)
{
    auto add = [&, next = std::size_t {0}](double (FullTable::*measure)()) mutable {
        FullTable table(size, crashes);
        slopes[next++].add(static_cast<double>(size), (table.*measure)());
    };
    add(&FullTable::admitUnknown);
    add(&FullTable::admitSuspect);
    add(&FullTable::startOfUnknown);
    add(&FullTable::startOfSuspect);
    add(&FullTable::crashOfNewSuspect);
}

} // namespace

std::vector<Slope> measureQuarantine()
{
    std::vector<Slope> all;
    for (const std::size_t crashes : {1, 2}) {
        const std::string each = ", " + std::to_string(crashes) + " crashes each";
        std::vector<Slope> slopes = {
            slopeOf("admit unknown" + each),        slopeOf("admit suspect" + each),
            slopeOf("start of unknown" + each),     slopeOf("start of suspect" + each),
            slopeOf("crash of new suspect" + each),
        };
        for (const double size : sizes)
            addTo(slopes, static_cast<std::size_t>(size), crashes);
        all.insert(all.end(), slopes.begin(), slopes.end());
    }
    return all;
}

} // namespace foxtailring::bench
