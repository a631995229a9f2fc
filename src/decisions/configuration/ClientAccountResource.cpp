#include "foxtailring/decisions/configuration/ClientAccountResource.h"

#include "SpecReader.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace foxtailring {

namespace {

constexpr std::size_t sha256HexDigits = 64;
constexpr std::uint32_t lowestPriority = 9;
constexpr std::uint32_t maxAllowedConcurrent = 1'000'000;
constexpr double maxAllowedRequestsPerSecond = 1'000'000;

bool isSha256(std::string_view text)
{
    return text.size() == sha256HexDigits
        && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

} // namespace

bool ClientAccountResource::mayUse(std::string_view service) const
{
    return services.empty()
        || std::find(services.begin(), services.end(), service) != services.end();
}

Result<ClientAccountResource> ClientAccountResource::parse(const std::string &name,
                                                           const nlohmann::json &spec)
{
    constexpr std::string_view keyFormat = "64 lower-case hexadecimal digits";
    SpecReader reader(spec);
    ClientAccountResource account;
    account.name = name;
    account.keySha256 = reader.requiredString("keySha256", keyFormat);
    if (!account.keySha256.empty() && !isSha256(account.keySha256))
        reader.addError("keySha256", keyFormat);
    account.priority = reader.integer("priority", account.priority, 0, lowestPriority);
    account.maxConcurrent =
        reader.integer("maxConcurrent", account.maxConcurrent, 1, maxAllowedConcurrent);
    account.requestsPerSecond = reader.number("requestsPerSecond", account.requestsPerSecond, 0.001,
                                              maxAllowedRequestsPerSecond);
    account.services = reader.stringList("services");
    const auto done = reader.finish();
    if (!done)
        return done.error();
    return account;
}

} // namespace foxtailring
