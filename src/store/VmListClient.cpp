#include "foxtailring/store/VmListClient.h"

#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/Http1Client.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace foxtailring {

namespace {

constexpr std::chrono::milliseconds timeout {2000};

// An unknown value is an error: it must not pass for \a second.
Result<bool> isFirstOf(const nlohmann::json &json, const char *member, std::string_view first,
                       std::string_view second)
{
    const std::string value = json.at(member);
    if (value != first && value != second)
        return Error {ErrorCode::Malformed,
                      "VM list: unknown " + std::string(member) + " \"" + value + '"'};
    return value == first;
}

Result<Vm> parseVm(const nlohmann::json &json)
{
    const auto isEntry = isFirstOf(json, "role", "entry", "sidecar");
    if (!isEntry)
        return isEntry.error();
    const auto isLeaving = isFirstOf(json, "state", "leaving", "live");
    if (!isLeaving)
        return isLeaving.error();
    return Vm {json.at("id"),
               json.at("address"),
               json.at("region"),
               json.at("availabilityZone"),
               json.value("service", ""),
               isEntry.value(),
               isLeaving.value()};
}

} // namespace

struct VmListClient::State
{
    Http1Client &http;
    Endpoint platform;
};

VmListClient::VmListClient(Http1Client &http, const Endpoint &platform)
    : m_state(new State {http, platform})
{
}

VmListClient::~VmListClient() = default;

void VmListClient::list(ListHook hook)
{
    m_state->http.request(m_state->platform, HttpRequest {"GET", "/v1/vms", {}, ""}, timeout,
                          [hook = std::move(hook)](const Result<HttpResponse> &response) {
                              if (!response)
                                  return hook(response.error());
                              if (response.value().status != 200)
                                  return hook(
                                      Error {ErrorCode::Unavailable,
                                             "VM list request returned status "
                                                 + std::to_string(response.value().status)});
                              hook(parse(response.value().body));
                          });
}

Result<std::vector<Vm>> VmListClient::parse(std::string_view json)
try {
    std::vector<Vm> vms;
    const auto list = nlohmann::json::parse(json);
    for (const auto &item : list.at("vms")) {
        auto vm = parseVm(item);
        if (!vm)
            return vm.error();
        vms.push_back(std::move(vm).value());
    }
    return vms;
} catch (const nlohmann::json::exception &exception) {
    return Error {ErrorCode::Malformed, std::string("VM list: ") + exception.what()};
}

} // namespace foxtailring
