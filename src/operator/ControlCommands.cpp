#include "foxtailring/operator/ControlCommands.h"

#include "foxtailring/operator/OperatorClient.h"
#include "foxtailring/operator/RequestTimeline.h"
#include "foxtailring/operator/ResourceFile.h"
#include "TextTable.h"

#include <istream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <thread>

namespace foxtailring {

namespace {

enum ExitCode : std::uint8_t {
    Success = 0,
    Failure = 1,
    Usage = 2,
    ConflictFound = 3,
    TimedOut = 4,
};

constexpr std::chrono::milliseconds pollInterval {200};

std::string joinNames(const nlohmann::json &names)
{
    std::string out;
    for (const auto &name : names)
        out += (out.empty() ? "" : ", ") + name.get<std::string>();
    return out;
}

// Current revision of a resource, or 0 when it does not exist.
Result<std::int64_t> currentRevision(const Result<nlohmann::json> &found)
{
    if (found)
        return found.value().value("revision", std::int64_t(0));
    if (found.error().code == ErrorCode::NotFound)
        return std::int64_t(0);
    return found.error();
}

// Entity tag of a resource, or empty when it does not exist.
std::string entityTag(const Result<nlohmann::json> &found)
{
    return found ? found.value().value("entityTag", "") : "";
}

bool hasSameSpec(const Result<nlohmann::json> &found, const StoredResource &resource)
{
    return found
        && found.value().value("spec", nlohmann::json()) == nlohmann::json::parse(resource.spec);
}

std::vector<std::string> makeServerRow(const std::string &service, const nlohmann::json &server)
{
    const auto number = [&](const char *field) {
        return std::to_string(server.value(field, std::int64_t(0)));
    };
    return {server.value("id", ""),    service,           server.value("availabilityZone", ""),
            server.value("state", ""), number("running"), number("waiting"),
            number("capacity"),        number("revision")};
}

} // namespace

ControlCommands::ControlCommands(OperatorClient &client, ControlOptions options, std::istream &in,
                                 std::ostream &out, std::ostream &err)
    : m_client(client)
    , m_options(std::move(options))
    , m_in(in)
    , m_out(out)
    , m_err(err)
{
}

std::string ControlCommands::usage()
{
    return "foxtailringctl [--server IP:PORT] [--operator NAME] [--output table|json] COMMAND\n"
           "  apply -f FILE [--wait]      create or change the resources in FILE\n"
           "  diff -f FILE                show what apply would change\n"
           "  check -f FILE               check the resources in FILE, change nothing\n"
           "  check-routes -f FILE [--in_force FILE] [--store IP:PORT] [--memory_mb N]\n"
           "                              check a route configuration, and show what it changes\n"
           "  rollout SERVICE --store IP:PORT [--follow] [--timeout S]\n"
           "                              show, or follow, the move of a service to a version; "
           "exit "
           "code 0\n"
           "                              completed, 1 rolled back, 4 neither\n"
           "  get KIND NAME               show one resource\n"
           "  list [KIND]                 list resources\n"
           "  delete KIND NAME            delete a resource\n"
           "  watch [--from REVISION]     show changes as they come into force\n"
           "  wait [--revision REVISION]  wait until a revision is in force on every node\n"
           "  drain SERVER [--undo]       stop, or restart, giving new work to a backend server\n"
           "  status                      show servers, their load and their revisions\n"
           "  explain REQUEST < LOGS      tell what became of a request, from processes' log "
           "lines\n"
           "exit codes: 0 done, 1 failed, 2 usage, 3 conflict, 4 timeout\n";
}

int ControlCommands::run(std::span<const std::string> arguments)
{
    const std::string command = arguments.empty() ? "" : arguments[0];
    const auto commandArguments = arguments.empty() ? arguments : arguments.subspan(1);
    if (command == "apply" && commandArguments.empty() && !m_options.filePath.empty())
        return apply();
    if (command == "diff" && commandArguments.empty() && !m_options.filePath.empty())
        return diff();
    if (command == "check" && commandArguments.empty() && !m_options.filePath.empty())
        return check();
    if (command == "get" && commandArguments.size() == 2)
        return show(commandArguments[0], commandArguments[1]);
    if (command == "list" && commandArguments.size() <= 1)
        return list(commandArguments);
    if (command == "delete" && commandArguments.size() == 2)
        return remove(commandArguments[0], commandArguments[1]);
    if (command == "watch" && commandArguments.empty())
        return watch();
    if (command == "wait" && commandArguments.empty())
        return wait(m_options.revision);
    if (command == "drain" && commandArguments.size() == 1)
        return drain(commandArguments[0]);
    if (command == "status" && commandArguments.empty())
        return status();
    if (command == "explain" && commandArguments.size() == 1)
        return explain(commandArguments[0]);
    m_err << usage();
    return ExitCode::Usage;
}

int ControlCommands::explain(const std::string &request)
{
    RequestTimeline timeline(request);
    std::string line;
    while (std::getline(m_in, line))
        timeline.addLine(line);
    if (timeline.print(m_out))
        return ExitCode::Success;
    m_err << "foxtailringctl: no line names request " << request << '\n';
    return ExitCode::Failure;
}

int ControlCommands::fail(const Error &error)
{
    m_err << "foxtailringctl: " << error.message << '\n';
    switch (error.code) {
    case ErrorCode::InvalidArgument:
        return ExitCode::Usage;
    case ErrorCode::Conflict:
        return ExitCode::ConflictFound;
    case ErrorCode::Timeout:
        return ExitCode::TimedOut;
    default:
        return ExitCode::Failure;
    }
}

Result<std::int64_t> ControlCommands::applyOne(const StoredResource &resource)
{
    const std::string label = resource.kind + '/' + resource.name;
    const auto found = m_client.fetchResource(resource.kind, resource.name);
    const auto expected = currentRevision(found);
    if (!expected)
        return expected.error();
    if (hasSameSpec(found, resource)) {
        m_out << label << " unchanged at revision " << expected.value() << '\n';
        return expected.value();
    }
    const auto stored = m_client.put(resource, entityTag(found));
    if (!stored)
        return stored.error();
    const auto revision = stored.value().value("revision", std::int64_t(0));
    m_out << label << (expected.value() == 0 ? " created" : " changed") << " at revision "
          << revision << '\n';
    return revision;
}

int ControlCommands::apply()
{
    const auto resources = ResourceFile::read(m_options.filePath);
    if (!resources)
        return fail(resources.error());
    std::int64_t maxRevision = 0;
    for (const auto &resource : resources.value()) {
        const auto revision = applyOne(resource);
        if (!revision)
            return fail(revision.error());
        maxRevision = std::max(maxRevision, revision.value());
    }
    return finishChange(maxRevision);
}

int ControlCommands::finishChange(std::int64_t revision)
{
    return m_options.waitsUntilInForce ? wait(revision) : ExitCode::Success;
}

int ControlCommands::diff()
{
    const auto resources = ResourceFile::read(m_options.filePath);
    if (!resources)
        return fail(resources.error());
    for (const auto &resource : resources.value()) {
        const auto found = m_client.fetchResource(resource.kind, resource.name);
        const auto present = currentRevision(found);
        if (!present)
            return fail(present.error());
        if (hasSameSpec(found, resource))
            continue;
        m_out << resource.kind << '/' << resource.name << '\n';
        if (found)
            m_out << "- " << found.value().value("spec", nlohmann::json()).dump() << '\n';
        m_out << "+ " << nlohmann::json::parse(resource.spec).dump() << '\n';
    }
    return ExitCode::Success;
}

int ControlCommands::check()
{
    const auto resources = ResourceFile::read(m_options.filePath);
    if (!resources)
        return fail(resources.error());
    m_out << resources.value().size() << " resources ok\n";
    return ExitCode::Success;
}

int ControlCommands::show(const std::string &kind, const std::string &name)
{
    const auto found = m_client.fetchResource(kind, name);
    if (!found)
        return fail(found.error());
    m_out << found.value().dump(m_options.printsJson ? -1 : 2) << '\n';
    return ExitCode::Success;
}

int ControlCommands::list(std::span<const std::string> arguments)
{
    const auto all = m_client.fetchList();
    if (!all)
        return fail(all.error());
    if (m_options.printsJson) {
        m_out << all.value().dump() << '\n';
        return ExitCode::Success;
    }
    TextTable table({"KIND", "NAME", "REVISION", "WRITER"});
    for (const auto &resource : all.value().value("resources", nlohmann::json::array())) {
        if (!arguments.empty() && resource.value("kind", "") != arguments[0])
            continue;
        table.addRow({resource.value("kind", ""), resource.value("name", ""),
                      std::to_string(resource.value("revision", std::int64_t(0))),
                      resource.value("writer", "")});
    }
    table.print(m_out);
    return ExitCode::Success;
}

int ControlCommands::remove(const std::string &kind, const std::string &name)
{
    const auto found = m_client.fetchResource(kind, name);
    const auto expected = currentRevision(found);
    if (!expected)
        return fail(expected.error());
    if (expected.value() == 0)
        return fail({ErrorCode::NotFound, kind + '/' + name + " does not exist"});
    const auto removed = m_client.remove(kind, name, entityTag(found));
    if (!removed)
        return fail(removed.error());
    const auto revision = removed.value().value("revision", std::int64_t(0));
    m_out << kind << '/' << name << " deleted at revision " << revision << '\n';
    return finishChange(revision);
}

int ControlCommands::watch()
{
    const auto ended = m_client.watch(
        m_options.from, [this](std::string_view line) { m_out << line << std::endl; });
    return ended ? ExitCode::Success : fail(ended.error());
}

int ControlCommands::wait(std::int64_t revision)
{
    const auto deadline = std::chrono::steady_clock::now() + m_options.timeout;
    std::string missing = "no entry answered";
    while (true) {
        const auto report = m_client.fetchInForce(revision);
        if (report && report.value().value("inForce", false)) {
            const auto &body = report.value();
            if (m_options.printsJson)
                m_out << body.dump() << '\n';
            else
                m_out << "revision " << body.value("revision", std::int64_t(0)) << " in force on "
                      << body["nodes"].size() << " nodes\n";
            return ExitCode::Success;
        }
        if (report)
            missing = "missing on " + joinNames(report.value()["missing"]);
        else
            missing = report.error().message;
        if (std::chrono::steady_clock::now() >= deadline)
            return fail({ErrorCode::Timeout, "not in force: " + missing});
        std::this_thread::sleep_for(pollInterval);
    }
}

int ControlCommands::drain(const std::string &server)
{
    StoredResource resource;
    resource.kind = "BackendServer";
    resource.name = server;
    resource.spec = m_options.undoesDrain ? R"({"drain":false})" : R"({"drain":true})";
    const auto revision = applyOne(resource);
    return revision ? finishChange(revision.value()) : fail(revision.error());
}

int ControlCommands::status()
{
    const auto status = m_client.fetchStatus();
    if (!status)
        return fail(status.error());
    if (m_options.printsJson) {
        m_out << status.value().dump() << '\n';
        return ExitCode::Success;
    }
    m_out << "revision " << status.value().value("revision", std::int64_t(0)) << '\n';
    TextTable table(
        {"SERVER", "SERVICE", "ZONE", "STATE", "RUNNING", "WAITING", "CAPACITY", "REVISION"});
    const auto services = status.value().value("services", nlohmann::json::object());
    for (const auto &[service, group] : services.items()) {
        for (const auto &server : group.value("servers", nlohmann::json::array()))
            table.addRow(makeServerRow(service, server));
    }
    table.print(m_out);
    return ExitCode::Success;
}

} // namespace foxtailring
