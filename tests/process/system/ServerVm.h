#pragma once

#include "ChildProcess.h"
#include "HttpClient.h"
#include "TemporaryFile.h"

#include <cstdint>
#include <memory>
#include <string>

namespace foxtailring::harness {

/// \brief A VM that runs a backend server and its sidecar.
struct ServerVm
{
    std::string name;
    std::string region;
    std::string availabilityZone;
    std::string service;
    bool isPlain = false;
    std::string state = "live"; ///< in the VM list
    std::unique_ptr<ChildProcess> backend = {};
    std::unique_ptr<ChildProcess> sidecar = {};
    std::unique_ptr<TemporaryFile> settings = {};

    /// \brief Name of the proxy route between entries and the sidecar.
    std::string entryRoute() const { return name + "-inner"; }
    /// \brief Name of the proxy route between the sidecar and its backend server.
    std::string backendRoute() const { return name + "-loopback"; }
    /// \brief Name of the proxy route between the sidecar and the platform.
    std::string platformRoute() const { return name + "-platform"; }

    HttpClient backendControl() { return HttpClient(backend->port()); }
    std::uint16_t adminPort();
    HttpClient admin() { return HttpClient(adminPort()); }
};

} // namespace foxtailring::harness
