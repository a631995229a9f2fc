#pragma once

#include "foxtailring/base/StoreRevision.h"
#include "foxtailring/decisions/rollouts/RolloutOrder.h"
#include "foxtailring/decisions/rollouts/RolloutStatus.h"
#include "foxtailring/decisions/rollouts/VersionVerdict.h"
#include "foxtailring/decisions/rollouts/VersionWitness.h"

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief How a roll-out stands: its order, its status and the evidence of all gateways.
class RolloutReport
{
public:
    /// \brief What the store holds of one service.
    struct Input
    {
        std::string service;
        std::optional<RolloutOrder> order;
        StoreRevision orderRevision;
        std::optional<RolloutStatus> status;
        std::vector<VersionWitness> witnesses; ///< of all gateways that wrote one
    };
    enum class State : std::uint8_t {
        None,    ///< neither an order nor a status
        Ordered, ///< no status answers the order
        Serving,
        Completed,
        RolledBack,
    };

    explicit RolloutReport(Input input);

    State state() const { return m_state; }
    /// \brief True if the state does not change without another order.
    bool isEnded() const { return m_state == State::Completed || m_state == State::RolledBack; }
    void printText(std::ostream &out) const;
    /// \brief The same on one line, without what stays the same.
    void printLine(std::ostream &out) const;
    /// \brief One object on one line.
    void printJson(std::ostream &out) const;

private:
    bool answersOrder() const;
    State stateOf() const;
    bool isCounted(const VersionWitness &witness) const;
    void mergeEvidence();
    std::string version() const;
    std::string gradeText() const;

    const Input m_input;
    const State m_state;
    VersionVerdict m_verdict;       ///< of the witnesses; of the status at the end
    std::size_t m_gatewayCount = 0; ///< that told what they have seen
    std::size_t m_movedCount = 0;   ///< of them, without a request at another version
};

} // namespace foxtailring
