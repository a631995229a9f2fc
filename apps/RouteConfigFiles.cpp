#include "RouteConfigFiles.h"

#include "foxtailring/operator/RouteConfigCheck.h"
#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/Http1Client.h"
#include "foxtailring/transport/WorkerPool.h"

#include "KvClient.h"
#include "WireFormat.h"

#include <fstream>
#include <future>
#include <iostream>
#include <iterator>

namespace foxtailring {

namespace {

constexpr std::size_t bytesPerMb = std::size_t(1024) * 1024;

Result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (!file.is_open() || file.bad())
        return Error {ErrorCode::NotFound, path + " cannot be read"};
    return text;
}

/// What the store tells: the configuration in force and the servers of each service.
struct StoreContents
{
    std::string config;
    std::map<std::string, std::size_t, std::less<>> serverCounts;
};

Result<StoreContents> readStore(const std::string &address, const StoreSchema &schema)
{
    const auto endpoint = Endpoint::parse(address);
    if (!endpoint)
        return endpoint.error();
    WorkerPool pool(1);
    Http1Client http(pool);
    platform::KvClient store(pool, http, endpoint.value(), {});
    std::promise<Result<RangeResult>> configRead;
    std::promise<Result<RangeResult>> serversRead;
    store.get(schema.configKey, [&](auto result) { configRead.set_value(std::move(result)); });
    store.range(schema.serverKeyPrefix,
                [&](auto result) { serversRead.set_value(std::move(result)); });
    const auto config = configRead.get_future().get();
    const auto servers = serversRead.get_future().get();
    if (!config || !servers)
        return config ? servers.error() : config.error();
    StoreContents contents;
    if (!config.value().pairs.empty())
        contents.config = config.value().pairs.front().value;
    for (const KeyValue &pair : servers.value().pairs) {
        const std::string id = pair.key.substr(schema.serverKeyPrefix.size());
        const auto server = schema.decodeServer(id, pair.value);
        if (server && !server.value().isDraining)
            ++contents.serverCounts[server.value().service];
    }
    return contents;
}

int fail(const Error &error)
{
    std::cerr << "foxtailringctl: " << error.message << '\n';
    return RouteConfigCheck::Unreadable;
}

} // namespace

int RouteConfigFiles::check(const Options &options)
{
    const StoreSchema schema = platform::storeSchema();
    RouteConfigCheck::Input input;
    const auto next = readFile(options.filePath);
    if (!next)
        return fail(next.error());
    input.next = next.value();
    if (options.memoryMb > 0)
        input.surroundings.gatewayMemoryBytes = options.memoryMb * bytesPerMb;
    std::string inForce;
    if (!options.storeAddress.empty()) {
        auto contents = readStore(options.storeAddress, schema);
        if (!contents)
            return fail(contents.error());
        inForce = std::move(contents.value().config);
        input.surroundings.serverCounts = std::move(contents.value().serverCounts);
    }
    if (!options.inForcePath.empty()) {
        auto read = readFile(options.inForcePath);
        if (!read)
            return fail(read.error());
        inForce = std::move(read).value();
    }
    if (!inForce.empty())
        input.inForce = inForce;
    return RouteConfigCheck(schema.decodeConfig, options.printsJson, std::cout).run(input);
}

} // namespace foxtailring
