#include "foxtailring/operator/RequestTimeline.h"

#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>

namespace foxtailring {

namespace {

using nlohmann::ordered_json;

// Events that report a node's state, and the field that names the server concerned.
struct StateEvent
{
    std::string_view event;
    std::string_view subjectField; ///< empty: the event concerns the node or its store
};

constexpr std::array<StateEvent, 17> stateEvents {{{"started", ""},
                                                   {"stopping", ""},
                                                   {"storeLost", ""},
                                                   {"storeFollowed", ""},
                                                   {"configInForce", ""},
                                                   {"fleetSizeChanged", ""},
                                                   {"configUnreadable", ""},
                                                   {"serversRead", ""},
                                                   {"serverListed", "server"},
                                                   {"serverGone", "server"},
                                                   {"serverEntryUnreadable", "server"},
                                                   {"serverSuspected", "server"},
                                                   {"serverTrusted", "server"},
                                                   {"serverLimited", "server"},
                                                   {"serverUnlimited", "server"},
                                                   {"serverLeaving", "server"},
                                                   {"serverLeavingEnded", "server"}}};

std::string stringField(const ordered_json &object, std::string_view name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

// Formats the fields as `name value` pairs, without those that every line has.
std::string formatFields(const ordered_json &object)
{
    constexpr std::array<std::string_view, 6> common {"time",    "level", "event",
                                                      "program", "node",  "request"};
    std::string out;
    for (const auto &[name, value] : object.items()) {
        const bool isCommonField = std::find(common.begin(), common.end(), name) != common.end();
        const std::string text = value.is_string() ? value.get<std::string>() : value.dump();
        if (isCommonField || text.empty())
            continue;
        out += out.empty() ? "" : ", ";
        out += name;
        out += ' ';
        out += text;
    }
    return out;
}

const StateEvent *findStateEvent(std::string_view event)
{
    const auto found = std::find_if(stateEvents.begin(), stateEvents.end(),
                                    [event](const StateEvent &one) { return one.event == event; });
    return found == stateEvents.end() ? nullptr : &*found;
}

} // namespace

RequestTimeline::RequestTimeline(std::string requestId)
    : m_requestId(std::move(requestId))
{
}

void RequestTimeline::addLine(std::string_view text)
{
    const auto brace = text.find('{');
    if (brace == std::string_view::npos)
        return;
    const auto object = ordered_json::parse(text.substr(brace), nullptr, false);
    if (!object.is_object()) {
        ++m_unreadableCount;
        return;
    }
    Line line;
    line.time = stringField(object, "time");
    line.node = stringField(object, "node");
    line.event = stringField(object, "event");
    line.text = formatFields(object);
    line.sequence = m_lineCount++;
    if (stringField(object, "request") == m_requestId) {
        m_serverIds.insert(stringField(object, "server"));
        m_requestLines.push_back(std::move(line));
    } else if (const StateEvent *stateEvent = findStateEvent(line.event)) {
        line.subject =
            stateEvent->subjectField.empty() ? "" : stringField(object, stateEvent->subjectField);
        m_stateLines.push_back(std::move(line));
    }
}

bool RequestTimeline::print(std::ostream &out) const
{
    std::vector<Line> lines = m_requestLines;
    std::set<std::string> nodes;
    for (const Line &line : m_requestLines) {
        if (!nodes.insert(line.node).second)
            continue;
        const auto stateLines = stateBefore(line, m_serverIds);
        lines.insert(lines.end(), stateLines.begin(), stateLines.end());
        if (const auto missing = unfinishedLine(line.node))
            lines.push_back(*missing);
    }
    std::stable_sort(lines.begin(), lines.end(), [](const Line &a, const Line &b) {
        return a.time != b.time ? a.time < b.time : a.sequence < b.sequence;
    });
    for (const Line &line : lines)
        out << line.time << "  " << line.node << "  " << line.event << "  " << line.text << '\n';
    if (m_unreadableCount > 0)
        out << m_unreadableCount << " lines could not be read\n";
    return !m_requestLines.empty();
}

// A killed process logs no end of the request; the start of the next process on the node bounds the
// time.
std::optional<RequestTimeline::Line> RequestTimeline::unfinishedLine(const std::string &node) const
{
    Line end;
    for (const Line &line : m_requestLines) {
        if (line.node != node)
            continue;
        if (line.event == "request" || line.event == "refused")
            return std::nullopt;
        if (line.time >= end.time)
            end = line;
    }
    end.event = "unfinished";
    end.sequence = m_lineCount;
    end.text = "these logs do not tell the end";
    for (const Line &stateLine : m_stateLines) {
        if (stateLine.node != node || stateLine.event != "started" || stateLine.time < end.time)
            continue;
        end.text = "the process ended before the answer; the next one started at " + stateLine.time;
        break;
    }
    return end;
}

// Returns the latest line for each server and for each event without a server. Skips servers that
// the request's lines do not name.
std::vector<RequestTimeline::Line>
RequestTimeline::stateBefore(const Line &first, const std::set<std::string> &serverIds) const
{
    std::map<std::pair<std::string, std::string>, Line> latest;
    for (const Line &stateLine : m_stateLines) {
        const bool isRelevant = stateLine.node == first.node && stateLine.time <= first.time
            && (stateLine.subject.empty() || serverIds.count(stateLine.subject) > 0);
        if (!isRelevant)
            continue;
        Line &latestLine =
            latest[{stateLine.subject.empty() ? stateLine.event : "server", stateLine.subject}];
        if (latestLine.time <= stateLine.time)
            latestLine = stateLine;
    }
    std::vector<Line> out;
    out.reserve(latest.size());
    for (const auto &[key, line] : latest)
        out.push_back(line);
    return out;
}

} // namespace foxtailring
