#include "foxtailring/decisions/configuration/AdapterResource.h"

#include "SpecReader.h"

#include <nlohmann/json.hpp>

namespace foxtailring {

Result<AdapterResource> AdapterResource::parse(const std::string &name, const nlohmann::json &spec)
{
    SpecReader reader(spec);
    AdapterResource adapter;
    adapter.name = name;
    adapter.model = reader.requiredString("model", "the name of a Model resource");
    const auto done = reader.finish();
    if (!done)
        return done.error();
    return adapter;
}

} // namespace foxtailring
