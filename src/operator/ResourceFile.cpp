#include "foxtailring/operator/ResourceFile.h"

#include "YamlJson.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace foxtailring {

namespace {

class FileReader
{
public:
    explicit FileReader(std::string name)
        : m_name(std::move(name))
    {
    }

    void add(const YAML::Node &document)
    {
        const int line = document.Mark().line + 1;
        const std::size_t errorCountBefore = m_errors.size();
        if (!document.IsMap())
            return addError(line, "a resource is a mapping with kind, name and spec");
        checkKeys(document);
        StoredResource resource;
        resource.kind = requiredString(document, "kind");
        resource.name = requiredString(document, "name");
        const YAML::Node spec = document["spec"];
        resource.spec = spec ? yamlToJson(spec).dump() : "{}";
        if (m_errors.size() > errorCountBefore)
            return;
        const auto valid = resource.validate();
        if (!valid)
            return addErrors(spec ? spec.Mark().line + 1 : line, resource, valid.error().message);
        m_resources.push_back(std::move(resource));
    }

    Result<std::vector<StoredResource>> finish()
    {
        if (!m_errors.empty())
            return Error {ErrorCode::InvalidArgument, m_errors};
        if (m_resources.empty())
            return Error {ErrorCode::InvalidArgument, m_name + ": holds no resource"};
        return std::move(m_resources);
    }

private:
    void addError(int line, const std::string &message)
    {
        m_errors +=
            (m_errors.empty() ? "" : "\n") + m_name + ':' + std::to_string(line) + ": " + message;
    }

    void addErrors(int line, const StoredResource &resource, const std::string &messages)
    {
        std::istringstream in(messages);
        for (std::string one; std::getline(in, one);)
            addError(line, resource.kind + '/' + resource.name + ": " + one);
    }

    void checkKeys(const YAML::Node &document)
    {
        for (const auto &entry : document) {
            const std::string key = entry.first.Scalar();
            if (key != "kind" && key != "name" && key != "spec")
                addError(entry.first.Mark().line + 1,
                         key + ": this key is not known; allowed: kind, name, spec");
        }
    }

    std::string requiredString(const YAML::Node &document, const std::string &key)
    {
        const YAML::Node value = document[key];
        if (value && value.IsScalar())
            return value.Scalar();
        addError(document.Mark().line + 1, key + ": missing; allowed: a string");
        return {};
    }

    std::string m_name;
    std::string m_errors;
    std::vector<StoredResource> m_resources;
};

} // namespace

Result<std::vector<StoredResource>> ResourceFile::read(const std::string &path)
{
    std::ifstream in(path);
    if (!in)
        return Error {ErrorCode::NotFound, path + ": cannot be read"};
    std::stringstream text;
    text << in.rdbuf();
    return parse(text.str(), path);
}

Result<std::vector<StoredResource>> ResourceFile::parse(std::string_view text,
                                                        const std::string &name)
{
    FileReader reader(name);
    try {
        for (const auto &document : YAML::LoadAll(std::string(text))) {
            if (!document.IsNull())
                reader.add(document);
        }
    } catch (const YAML::Exception &exception) {
        return Error {ErrorCode::InvalidArgument,
                      name + ':' + std::to_string(exception.mark.line + 1) + ": " + exception.msg};
    }
    return reader.finish();
}

} // namespace foxtailring
