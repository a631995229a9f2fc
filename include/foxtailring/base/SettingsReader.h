#pragma once

#include "foxtailring/base/Result.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace YAML {
class Node;
}

namespace foxtailring {

/// \brief Reads typed values from a YAML mapping and collects all errors instead of the first.
///
/// An error names file, line, key, value and what is allowed. A reader that finds an invalid value
/// records an error and returns a placeholder, so check finish() before using any value. Keys that
/// nobody read are errors.
class SettingsReader
{
public:
    /// \brief NotFound when the file cannot be read, InvalidArgument when it is no YAML mapping.
    static Result<SettingsReader> fromFile(const std::string &path);
    /// \brief Parses \a text. \a name stands for the file name in messages.
    static Result<SettingsReader> fromText(std::string_view text, std::string name);

    std::string text(const std::string &key, std::string_view allowed = "a non-empty string");
    std::string textOr(const std::string &key, std::string defaultValue);
    std::int64_t integer(const std::string &key, std::int64_t minValue, std::int64_t maxValue);
    std::int64_t integerOr(const std::string &key, std::int64_t defaultValue, std::int64_t minValue,
                           std::int64_t maxValue);
    double numberOr(const std::string &key, double defaultValue, double minValue, double maxValue);
    bool flagOr(const std::string &key, bool defaultValue);
    std::vector<std::string> textList(const std::string &key);
    /// \brief `IP:PORT` with a numeric IP address and a port from 0 to 65535.
    std::string address(const std::string &key);
    std::string addressOr(const std::string &key, std::string defaultValue);

    /// \brief Reader of the mapping under \a key. It shares the list of errors; call its finish()
    /// too.
    SettingsReader section(const std::string &key);
    bool has(const std::string &key) const;

    /// \brief Adds an error that the caller found in the value of \a key.
    void addError(const std::string &key, std::string_view allowed);

    /// \brief InvalidArgument with one line per error, including keys that were not read.
    Result<Done> finish();

private:
    struct Shared;
    SettingsReader(std::shared_ptr<Shared> shared, std::shared_ptr<YAML::Node> node,
                   std::string prefix);
    std::shared_ptr<YAML::Node> find(const std::string &key);
    std::string require(const std::string &key, std::string_view allowed);
    void addErrorAt(int line, const std::string &key, std::string_view value,
                    std::string_view allowed);

    std::shared_ptr<Shared> m_shared;
    std::shared_ptr<YAML::Node> m_node;
    std::string m_prefix;
    std::vector<std::string> m_readKeys;
};

} // namespace foxtailring
