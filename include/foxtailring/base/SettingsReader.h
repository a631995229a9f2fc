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

/// \brief Reads typed values from one YAML mapping and collects every fault found.
///
/// A fault names file, line, key, value and what is allowed. Keys that nobody asked for are faults.
class SettingsReader
{
public:
    /// \brief Parses a file; an unreadable file or bad YAML is an error.
    static Result<SettingsReader> fromFile(const std::string &path);
    /// \brief Parses \a text; \a name stands for the file in messages.
    static Result<SettingsReader> fromText(std::string_view text, std::string name);

    std::string text(const std::string &key, std::string_view allowed = "a non-empty string");
    std::string textOr(const std::string &key, std::string fallback);
    std::int64_t integer(const std::string &key, std::int64_t minValue, std::int64_t maxValue);
    std::int64_t integerOr(const std::string &key, std::int64_t fallback, std::int64_t minValue,
                           std::int64_t maxValue);
    double numberOr(const std::string &key, double fallback, double minValue, double maxValue);
    bool flagOr(const std::string &key, bool fallback);
    std::vector<std::string> textList(const std::string &key);
    /// \brief `HOST:PORT` with an IP number and a port from 0 to 65535.
    std::string address(const std::string &key);
    std::string addressOr(const std::string &key, std::string fallback);

    /// \brief Reader of the mapping under \a key; it shares the list of faults.
    SettingsReader section(const std::string &key);
    bool has(const std::string &key) const;

    /// \brief Adds a fault about \a key found by the caller.
    void addError(const std::string &key, std::string_view allowed);

    /// \brief Ok when no fault was found and no key was left unread; else all faults, one a line.
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
