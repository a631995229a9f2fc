#include "foxtailring/operator/LogStory.h"

#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>

namespace foxtailring {

namespace {

using nlohmann::ordered_json;

// Events that change what a node believes, and the field that names what it is about.
struct BeliefEvent
{
    std::string_view event;
    std::string_view subjectField; ///< empty: the event is about the node's one dependency
};

constexpr std::array<BeliefEvent, 12> beliefEvents {{{"started", ""},
                                                     {"stopping", ""},
                                                     {"storeLost", ""},
                                                     {"storeFollowed", ""},
                                                     {"configInForce", ""},
                                                     {"configUnreadable", ""},
                                                     {"serversRead", ""},
                                                     {"serverListed", "server"},
                                                     {"serverGone", "server"},
                                                     {"serverEntryUnreadable", "server"},
                                                     {"serverSuspected", "server"},
                                                     {"serverTrusted", "server"}}};

std::string textOf(const ordered_json &object, std::string_view name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

// `name value` pairs without those that every line has.
std::string fieldsOf(const ordered_json &object)
{
    constexpr std::array<std::string_view, 6> common {"time",    "level", "event",
                                                      "program", "node",  "request"};
    std::string out;
    for (const auto &[name, value] : object.items()) {
        const bool isCommon = std::find(common.begin(), common.end(), name) != common.end();
        const std::string text = value.is_string() ? value.get<std::string>() : value.dump();
        if (isCommon || text.empty())
            continue;
        out += out.empty() ? "" : ", ";
        out += name;
        out += ' ';
        out += text;
    }
    return out;
}

const BeliefEvent *beliefOf(std::string_view event)
{
    const auto found = std::find_if(beliefEvents.begin(), beliefEvents.end(),
                                    [event](const BeliefEvent &one) { return one.event == event; });
    return found == beliefEvents.end() ? nullptr : &*found;
}

} // namespace

LogStory::LogStory(std::string requestId)
    : m_requestId(std::move(requestId))
{
}

void LogStory::add(std::string_view text)
{
    const auto brace = text.find('{');
    if (brace == std::string_view::npos)
        return;
    const auto object = ordered_json::parse(text.substr(brace), nullptr, false);
    if (!object.is_object()) {
        ++m_unreadable;
        return;
    }
    Line line;
    line.time = textOf(object, "time");
    line.node = textOf(object, "node");
    line.event = textOf(object, "event");
    line.text = fieldsOf(object);
    line.order = m_lines++;
    if (textOf(object, "request") == m_requestId) {
        m_servers.insert(textOf(object, "server"));
        m_story.push_back(std::move(line));
    } else if (const BeliefEvent *belief = beliefOf(line.event)) {
        line.subject = belief->subjectField.empty() ? "" : textOf(object, belief->subjectField);
        m_beliefs.push_back(std::move(line));
    }
}

bool LogStory::print(std::ostream &out) const
{
    std::vector<Line> lines = m_story;
    std::set<std::string> nodes;
    for (const Line &line : m_story) {
        if (!nodes.insert(line.node).second)
            continue;
        const auto beliefs = beliefsBefore(line, m_servers);
        lines.insert(lines.end(), beliefs.begin(), beliefs.end());
        if (const auto missing = missingEnd(line.node))
            lines.push_back(*missing);
    }
    std::stable_sort(lines.begin(), lines.end(), [](const Line &a, const Line &b) {
        return a.time != b.time ? a.time < b.time : a.order < b.order;
    });
    for (const Line &line : lines)
        out << line.time << "  " << line.node << "  " << line.event << "  " << line.text << '\n';
    if (m_unreadable > 0)
        out << m_unreadable << " lines could not be read\n";
    return !m_story.empty();
}

// A process that is killed writes no end; the next one on its node tells when that was.
std::optional<LogStory::Line> LogStory::missingEnd(const std::string &node) const
{
    Line end;
    for (const Line &line : m_story) {
        if (line.node != node)
            continue;
        if (line.event == "request" || line.event == "refused")
            return std::nullopt;
        if (line.time >= end.time)
            end = line;
    }
    end.event = "unfinished";
    end.order = m_lines;
    end.text = "these logs do not tell the end";
    for (const Line &belief : m_beliefs) {
        if (belief.node != node || belief.event != "started" || belief.time < end.time)
            continue;
        end.text = "the process ended before the answer; the next one started at " + belief.time;
        break;
    }
    return end;
}

// The latest belief of each kind and subject counts; a server that the story does not name does
// not.
std::vector<LogStory::Line> LogStory::beliefsBefore(const Line &first,
                                                    const std::set<std::string> &servers) const
{
    std::map<std::pair<std::string, std::string>, Line> latest;
    for (const Line &belief : m_beliefs) {
        const bool isAbout = belief.node == first.node && belief.time <= first.time
            && (belief.subject.empty() || servers.count(belief.subject) > 0);
        if (!isAbout)
            continue;
        Line &known = latest[{belief.subject.empty() ? belief.event : "server", belief.subject}];
        if (known.time <= belief.time)
            known = belief;
    }
    std::vector<Line> out;
    out.reserve(latest.size());
    for (const auto &[key, line] : latest)
        out.push_back(line);
    return out;
}

} // namespace foxtailring
