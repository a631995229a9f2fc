#pragma once

#include "CallerOptions.h"
#include "Failure.h"
#include "RoundResult.h"
#include "SystemFixture.h"
#include "WorkMeter.h"

#include <cstddef>

namespace foxtailring::bench {

/// \brief One failure in the middle of an answer, in a fresh system.
class ResumeRound
{
public:
    static constexpr std::size_t tokens = 120; ///< of the answer

    /// \param atToken when the failure is injected
    ResumeRound(const Failure &failure, std::size_t atToken);

    /// \brief Settings of the system and of a request whose prompt starts with \a name.
    static harness::SystemOptions systemOptions();
    static harness::CallerOptions request(const std::string &name);

    /// \brief A caller of the entry: the wait until output goes on.
    RoundResult run();
    /// \brief A caller of the engines that starts again, with the same failure of another engine:
    /// the wait until it has as many tokens as before. To be called after run().
    RoundResult runDirect();

private:
    const Failure &m_failure;
    std::size_t m_atToken;
    harness::SystemFixture m_system;
    WorkMeter m_meter;
};

} // namespace foxtailring::bench
