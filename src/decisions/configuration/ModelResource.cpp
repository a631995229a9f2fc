#include "foxtailring/decisions/configuration/ModelResource.h"

#include "SpecReader.h"

#include <nlohmann/json.hpp>

namespace foxtailring {

Result<ModelResource> ModelResource::parse(const std::string &name, const nlohmann::json &spec)
{
    SpecReader reader(spec);
    ModelResource model;
    model.name = name;
    model.versions = reader.stringList("versions");
    const auto done = reader.finish();
    if (!done)
        return done.error();
    return model;
}

} // namespace foxtailring
