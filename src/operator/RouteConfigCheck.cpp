#include "foxtailring/operator/RouteConfigCheck.h"

#include "foxtailring/decisions/configuration/ConfigCheck.h"
#include "foxtailring/decisions/configuration/ConfigDifference.h"
#include "TextTable.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>

namespace foxtailring {

namespace {

using nlohmann::json;

std::string severityName(ConfigFinding::Severity severity)
{
    return severity == ConfigFinding::Severity::Error ? "error" : "warning";
}

void printJson(const std::vector<ConfigFinding> &findings, const std::vector<ConfigChange> &changes,
               std::ostream &out)
{
    json report = {{"findings", json::array()}, {"changes", json::array()}};
    for (const ConfigFinding &finding : findings)
        report["findings"].push_back({{"severity", severityName(finding.severity)},
                                      {"place", finding.place},
                                      {"message", finding.message}});
    for (const ConfigChange &change : changes)
        report["changes"].push_back({{"place", change.place},
                                     {"what", change.what},
                                     {"effect", change.effect},
                                     {"endsService", change.endsService}});
    // Names come from the configuration and may be no UTF-8.
    out << report.dump(-1, ' ', false, json::error_handler_t::replace) << '\n';
}

void printText(const std::vector<ConfigFinding> &findings, const std::vector<ConfigChange> &changes,
               std::ostream &out)
{
    for (const ConfigFinding &finding : findings)
        out << severityName(finding.severity) << ": " << finding.place << ": " << finding.message
            << '\n';
    if (changes.empty())
        return;
    TextTable table({"PLACE", "CHANGE", "EFFECT"});
    for (const ConfigChange &change : changes)
        table.addRow({change.place, change.what,
                      (change.endsService ? "ends service: " : "") + change.effect});
    table.print(out);
}

} // namespace

RouteConfigCheck::RouteConfigCheck(Decoder decoder, bool printsJson, std::ostream &out)
    : m_decoder(std::move(decoder))
    , m_printsJson(printsJson)
    , m_out(out)
{
}

int RouteConfigCheck::run(const Input &input)
{
    const auto next = m_decoder(input.next);
    if (!next)
        return fail("the configuration", next.error());
    std::vector<ConfigChange> changes;
    if (input.inForce) {
        const auto inForce = m_decoder(*input.inForce);
        if (!inForce)
            return fail("the configuration in force", inForce.error());
        changes = ConfigDifference::between(inForce.value(), next.value());
    }
    const auto findings = ConfigCheck::check(next.value(), input.surroundings);
    if (m_printsJson)
        printJson(findings, changes, m_out);
    else
        printText(findings, changes, m_out);
    const bool hasErrors = !findings.empty()
        && findings.front().severity == ConfigFinding::Severity::Error; // errors come first
    return hasErrors ? HasErrors : Sound;
}

int RouteConfigCheck::fail(std::string_view which, const Error &error)
{
    const ConfigFinding finding {ConfigFinding::Severity::Error, std::string(which),
                                 "cannot be read: " + error.message};
    if (m_printsJson)
        printJson({finding}, {}, m_out);
    else
        printText({finding}, {}, m_out);
    return Unreadable;
}

} // namespace foxtailring
