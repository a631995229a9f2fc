#include "AllocationCounter.h"
#include "CapacityBench.h"
#include "foxtailring/decisions/admission/AdmissionController.h"

#include <cstddef>
#include <memory>
#include <string>

namespace foxtailring::bench {

namespace {

constexpr double sizes[] = {10, 40, 160, 640, 1600};
constexpr double targetAccounts = 1600;
constexpr std::uint32_t limit = 64;
constexpr std::size_t queuedPerAccount = 2;

struct Measured
{
    explicit Measured(std::size_t count)
        : accounts(count)
    {
        const std::size_t before = allocatedBytes();
        admission = std::make_unique<AdmissionController>();
        admission->setConcurrencyLimit("s", limit);
        for (std::size_t i = 0; i < accounts; ++i)
            admission->release(std::get<Admitted>(submit(i)).ticket, now);
        idleBytes = static_cast<double>(allocatedBytes() - before);
    }

    AdmissionDecision submit(std::size_t account)
    {
        return admission->submit(AdmissionRequest {"client-account-" + std::to_string(account), "s",
                                                   AccountLimits {1000, 1e6}, 5,
                                                   now + std::chrono::hours(100)},
                                 now);
    }

    double admitAndRelease()
    {
        std::size_t next = 0;
        return cpuMicroseconds([&] {
            now += std::chrono::milliseconds(1);
            admission->release(std::get<Admitted>(submit(next++ % accounts)).ticket, now);
        });
    }

    void fillQueues()
    {
        for (std::uint32_t i = 0; i < limit; ++i)
            running = std::get<Admitted>(submit(i % accounts)).ticket;
        for (std::size_t i = 0; i < accounts * queuedPerAccount; ++i)
            submit(i % accounts);
    }

    /// One request more waits, one ends and the next one starts.
    double queueAndStart()
    {
        std::size_t next = 0;
        return cpuMicroseconds([&] {
            now += std::chrono::milliseconds(1);
            submit(next++ % accounts);
            admission->release(running, now);
            running = admission->startReady(now).front();
        });
    }

    double expire()
    {
        return cpuMicroseconds([&] { sink += admission->expire(now).size(); });
    }

    TimePoint now = TimePoint {} + std::chrono::hours(1);
    const std::size_t accounts;
    std::unique_ptr<AdmissionController> admission;
    Ticket running = 0;
    double idleBytes = 0;
    std::size_t sink = 0; ///< keeps results in use
};

} // namespace

std::vector<Slope> measureAccounts()
{
    std::vector<Slope> slopes = {
        {"AdmissionController: memory", "bytes", "accounts", {}, {}, targetAccounts},
        {"AdmissionController: submit + release", "us", "accounts", {}, {}, targetAccounts},
        {"AdmissionController: queue, release, next",
         "us",
         "waiting accounts",
         {},
         {},
         targetAccounts},
        {"AdmissionController: expire", "us", "waiting accounts", {}, {}, targetAccounts},
    };
    for (const double size : sizes) {
        Measured measured(static_cast<std::size_t>(size));
        const double direct = measured.admitAndRelease();
        measured.fillQueues();
        slopes[0].add(size, measured.idleBytes);
        slopes[1].add(size, direct);
        slopes[2].add(size, measured.queueAndStart());
        slopes[3].add(size, measured.expire());
    }
    return slopes;
}

} // namespace foxtailring::bench
