#pragma once

#include <functional>
#include <string>
#include <vector>

namespace foxtailring::harness {
class SystemFixture;
struct ServerVm;
} // namespace foxtailring::harness

namespace foxtailring::bench {

/// \brief A kind of failure in the middle of an answer.
struct Failure
{
    using Inject = std::function<void(harness::SystemFixture &, harness::ServerVm &)>;

    std::string name;
    Inject inject;            ///< empty: no failure
    bool isEngine = false;    ///< the engine fails, so that a direct caller loses its answer too
    bool isImmediate = false; ///< the other side of a connection sees it as a reset

    /// \brief The kinds that are measured, the run without a failure first.
    static std::vector<Failure> all();
};

} // namespace foxtailring::bench
