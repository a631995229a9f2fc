#pragma once

#include "HttpClient.h"

#include <cstdint>
#include <string>

namespace foxtailring::harness {

/// \brief Direct access to the fake platform, without the fault proxy and the entries.
class PlatformStore
{
public:
    explicit PlatformStore(std::uint16_t port);

    /// \brief Writes a resource in the form in which an accepted operator change is stored. Returns
    /// its revision.
    std::int64_t put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    HttpClient client() const { return m_client; }

private:
    HttpClient m_client;
    std::uint64_t m_changeCount = 0;
};

/// \brief Lower-case hexadecimal SHA-256 of \a text.
std::string sha256(const std::string &text);

} // namespace foxtailring::harness
