#include "foxtailring/decisions/configuration/BackendServerResource.h"

#include "SpecReader.h"

#include <nlohmann/json.hpp>

namespace foxtailring {

Result<BackendServerResource> BackendServerResource::parse(const std::string &name,
                                                           const nlohmann::json &spec)
{
    SpecReader reader(spec);
    BackendServerResource server;
    server.name = name;
    server.drain = reader.flag("drain", server.drain);
    const auto done = reader.finish();
    if (!done)
        return done.error();
    return server;
}

} // namespace foxtailring
