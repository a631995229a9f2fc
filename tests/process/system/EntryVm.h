#pragma once

#include "ChildProcess.h"
#include "HttpClient.h"
#include "TemporaryFile.h"

#include <cstdint>
#include <memory>
#include <string>

namespace foxtailring::harness {

/// \brief A VM that runs an entry.
struct EntryVm
{
    std::string name;
    std::string region;
    std::string availabilityZone;
    std::unique_ptr<ChildProcess> process = {};
    std::unique_ptr<TemporaryFile> settings = {};
    std::uint16_t port = 0;
    std::uint16_t adminPort = 0;

    /// \brief Name of the proxy route between the entry and the platform.
    std::string platformRoute() const { return name + "-platform"; }

    HttpClient client() const { return HttpClient(port); }
    HttpClient admin() const { return HttpClient(adminPort); }
};

} // namespace foxtailring::harness
