#include "OperatorClient.h"

#include "SystemFixture.h"

namespace foxtailring::harness {

namespace {

std::string target(const std::string &kind, const std::string &name)
{
    return "/operator/v1/resources/" + kind + '/' + name;
}

} // namespace

OperatorClient::OperatorClient(SystemFixture &system, std::size_t entry)
    : m_port(system.entry(entry).adminPort)
{
}

Result<HttpReply> OperatorClient::put(const nlohmann::json &resource, const std::string &entityTag,
                                      const std::string &writer) const
{
    HttpCall call {"PUT",
                   target(resource["kind"], resource["name"]),
                   {{"X-Operator", writer}, {"Content-Type", "application/json"}},
                   resource.dump()};
    if (entityTag.empty())
        call.headers.push_back({"If-None-Match", "*"});
    else
        call.headers.push_back({"If-Match", '"' + entityTag + '"'});
    return HttpClient(m_port).send(call);
}

std::string OperatorClient::entityTag(const std::string &kind, const std::string &name) const
{
    return resource(kind, name)["entityTag"].get<std::string>();
}

nlohmann::json OperatorClient::resource(const std::string &kind, const std::string &name) const
{
    return HttpClient(m_port).get(target(kind, name));
}

// The shell redirects standard error to the standard output, the only one that ChildProcess reads.
OperatorClient::Run OperatorClient::runControlTool(const std::vector<std::string> &arguments) const
{
    std::vector<std::string> command = {"-c",
                                        "exec \"$0\" \"$@\" 2>&1",
                                        FOXTAILRINGCTL_PATH,
                                        "--server",
                                        "127.0.0.1:" + std::to_string(m_port),
                                        "--operator",
                                        "process-test"};
    command.insert(command.end(), arguments.begin(), arguments.end());
    ChildProcess process("/bin/sh", command);
    Run run;
    run.exitCode = process.waitForExit().value_or(-1);
    // The last lines may be read shortly after the exit.
    waitUntil([&] { return !process.output().empty(); }, std::chrono::seconds(2));
    for (const std::string &line : process.output())
        run.output += line + '\n';
    return run;
}

} // namespace foxtailring::harness
