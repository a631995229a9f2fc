#include "foxtailring/operator/RolloutReport.h"

#include "foxtailring/decisions/rollouts/VersionEvidence.h"
#include "TextTable.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <ostream>
#include <utility>

namespace foxtailring {

namespace {

using nlohmann::json;
using State = RolloutReport::State;

constexpr double percent = 100;

const char *stateName(State state)
{
    switch (state) {
    case State::None:
        return "none";
    case State::Ordered:
        return "ordered";
    case State::Serving:
        return "serving";
    case State::Completed:
        return "completed";
    case State::RolledBack:
        return "rolledBack";
    }
    return "unknown";
}

const char *gradeName(VersionVerdict::Grade grade)
{
    switch (grade) {
    case VersionVerdict::Grade::Good:
        return "good";
    case VersionVerdict::Grade::Uncertain:
        return "uncertain";
    case VersionVerdict::Grade::Suspect:
        return "suspect";
    case VersionVerdict::Grade::Bad:
        return "bad";
    }
    return "unknown";
}

double seconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

// Without needless digits.
std::string numberText(double number)
{
    return json(number).dump();
}

std::string percentText(double share)
{
    return std::to_string(std::lround(percent * share)) + " %";
}

std::string figuresText(const VersionFigures &figures)
{
    return std::to_string(figures.answers) + " answers, " + std::to_string(figures.failures)
        + " failed, " + std::to_string(figures.slow) + " slow";
}

std::vector<std::string> figuresRow(const std::string &versions, const VersionFigures &figures)
{
    return {versions, std::to_string(figures.answers), std::to_string(figures.failures),
            std::to_string(figures.slow)};
}

json figuresJson(const VersionFigures &figures)
{
    return {{"answers", figures.answers}, {"failed", figures.failures}, {"slow", figures.slow}};
}

} // namespace

RolloutReport::RolloutReport(Input input)
    : m_input(std::move(input))
    , m_state(stateOf())
{
    mergeEvidence();
}

// A status of an earlier order for the same version does not answer one that was written later.
bool RolloutReport::answersOrder() const
{
    if (!m_input.status || !m_input.order)
        return m_input.status.has_value();
    const RolloutStatus &status = *m_input.status;
    const bool isOfOlderOrder = status.order.epoch == m_input.orderRevision.epoch
        && status.order.number < m_input.orderRevision.number;
    return status.version == m_input.order->version
        && (!isOfOlderOrder || status.state != RolloutState::RolledBack);
}

RolloutReport::State RolloutReport::stateOf() const
{
    if (!answersOrder())
        return m_input.order ? State::Ordered : State::None;
    switch (m_input.status->state) {
    case RolloutState::Serving:
        return State::Serving;
    case RolloutState::Completed:
        return State::Completed;
    case RolloutState::RolledBack:
        break;
    }
    return State::RolledBack;
}

std::string RolloutReport::version() const
{
    if (m_input.order)
        return m_input.order->version;
    return m_input.status ? m_input.status->version : std::string();
}

bool RolloutReport::isCounted(const VersionWitness &witness) const
{
    return m_input.order && witness.version == m_input.order->version
        && witness.order == m_input.orderRevision;
}

// Gateways tell no more at the end, and their last figures are older than those of the status.
void RolloutReport::mergeEvidence()
{
    if (isEnded()) {
        m_verdict.newFigures = m_input.status->newFigures;
        m_verdict.oldFigures = m_input.status->oldFigures;
        return;
    }
    VersionEvidence::Rows merged;
    for (const VersionWitness &witness : m_input.witnesses) {
        if (!isCounted(witness))
            continue;
        ++m_gatewayCount;
        m_movedCount += witness.isMoved ? 1 : 0;
        for (const auto &[key, row] : witness.rows)
            merged[key] += row;
    }
    VersionEvidence evidence;
    evidence.update(std::move(merged), TimePoint {});
    m_verdict = evidence.judge();
}

std::string RolloutReport::gradeText() const
{
    const std::string grade = gradeName(m_verdict.grade);
    return m_verdict.aspect.empty() ? grade : grade + " on " + m_verdict.aspect;
}

void RolloutReport::printText(std::ostream &out) const
{
    out << "service " << m_input.service;
    if (m_state == State::None) {
        out << ": no roll-out\n";
        return;
    }
    out << ": ";
    if (m_input.order)
        out << "ordered version " << m_input.order->version << " within "
            << numberText(seconds(m_input.order->ramp)) << " s\n";
    else
        out << "version " << version() << ", the order was deleted\n";
    out << "state " << stateName(m_state);
    if (m_state != State::Ordered)
        out << ", share " << percentText(m_input.status->share) << " since "
            << numberText(seconds(std::chrono::milliseconds(m_input.status->elapsedMs)))
            << " s after the order (" << m_input.status->reason << ")";
    out << '\n';
    TextTable table({"VERSION", "ANSWERS", "FAILED", "SLOW"});
    table.addRow(figuresRow(version(), m_verdict.newFigures));
    table.addRow(figuresRow("others", m_verdict.oldFigures));
    table.print(out);
    if (!isEnded())
        out << "evidence " << gradeText() << ", of " << m_gatewayCount << " gateways; "
            << m_movedCount << " have no request at the others\n";
}

void RolloutReport::printLine(std::ostream &out) const
{
    if (m_state == State::None) {
        out << m_input.service << ": no roll-out\n";
        return;
    }
    out << version() << ' ' << stateName(m_state);
    if (m_state != State::Ordered)
        out << ", share " << percentText(m_input.status->share) << " (" << m_input.status->reason
            << ")";
    out << "; " << version() << ": " << figuresText(m_verdict.newFigures)
        << "; others: " << figuresText(m_verdict.oldFigures);
    if (!isEnded())
        out << "; evidence " << gradeText() << "; " << m_movedCount << " of " << m_gatewayCount
            << " gateways moved";
    out << '\n';
}

void RolloutReport::printJson(std::ostream &out) const
{
    json report = {{"service", m_input.service},
                   {"state", stateName(m_state)},
                   {"version", version()},
                   {"new", figuresJson(m_verdict.newFigures)},
                   {"old", figuresJson(m_verdict.oldFigures)}};
    if (m_input.order)
        report["rampSeconds"] = seconds(m_input.order->ramp);
    if (m_state != State::Ordered && m_state != State::None) {
        report["share"] = m_input.status->share;
        report["elapsedMs"] = m_input.status->elapsedMs;
        report["reason"] = m_input.status->reason;
        report["refused"] = m_input.status->refused;
    }
    if (!isEnded()) {
        report["evidence"] = gradeName(m_verdict.grade);
        report["aspect"] = m_verdict.aspect;
        report["gateways"] = m_gatewayCount;
        report["moved"] = m_movedCount;
    }
    // Names come from the store and may be no UTF-8.
    out << report.dump(-1, ' ', false, json::error_handler_t::replace) << '\n';
}

} // namespace foxtailring
