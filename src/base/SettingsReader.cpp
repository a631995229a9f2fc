#include "foxtailring/base/SettingsReader.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <fstream>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace foxtailring {

struct SettingsReader::Shared
{
    std::string file;
    std::vector<std::string> errors;
};

namespace {

std::string describe(const YAML::Node &node)
{
    if (node.IsScalar())
        return node.Scalar();
    return node.IsSequence() ? "a list" : "a mapping";
}

bool isIpAndPort(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    boost::system::error_code error;
    boost::asio::ip::make_address(text.substr(0, colon), error);
    if (error)
        return false;
    const std::string port = text.substr(colon + 1);
    const bool isNumber = !port.empty() && port.size() <= 5
        && std::all_of(port.begin(), port.end(), [](char c) { return c >= '0' && c <= '9'; });
    return isNumber && std::stoi(port) <= 65535;
}

std::string allowedRange(double minValue, double maxValue)
{
    std::ostringstream out;
    out << "a number from " << minValue << " to " << maxValue;
    return out.str();
}

} // namespace

SettingsReader::SettingsReader(std::shared_ptr<Shared> shared, std::shared_ptr<YAML::Node> node,
                               std::string prefix)
    : m_shared(std::move(shared))
    , m_node(std::move(node))
    , m_prefix(std::move(prefix))
{
}

Result<SettingsReader> SettingsReader::fromFile(const std::string &path)
{
    std::ifstream in(path);
    if (!in)
        return Error {ErrorCode::NotFound, path + ": cannot be read"};
    std::stringstream text;
    text << in.rdbuf();
    return fromText(text.str(), path);
}

Result<SettingsReader> SettingsReader::fromText(std::string_view text, std::string name)
{
    auto shared = std::make_shared<Shared>();
    shared->file = std::move(name);
    try {
        auto node = std::make_shared<YAML::Node>(YAML::Load(std::string(text)));
        if (!node->IsMap())
            return Error {ErrorCode::InvalidArgument, shared->file + ": must be a YAML mapping"};
        return SettingsReader(std::move(shared), std::move(node), "");
    } catch (const YAML::Exception &exception) {
        return Error {ErrorCode::InvalidArgument,
                      shared->file + ':' + std::to_string(exception.mark.line + 1) + ": "
                          + exception.msg};
    }
}

std::shared_ptr<YAML::Node> SettingsReader::find(const std::string &key)
{
    m_readKeys.push_back(key);
    if (!m_node || !m_node->IsMap())
        return nullptr;
    const YAML::Node value = (*std::as_const(m_node))[key];
    if (!value.IsDefined())
        return nullptr;
    return std::make_shared<YAML::Node>(value);
}

void SettingsReader::addErrorAt(int line, const std::string &key, std::string_view value,
                                std::string_view allowed)
{
    std::ostringstream out;
    out << m_shared->file << ':' << line << ": " << m_prefix << key << ": ";
    if (value.empty())
        out << "missing";
    else
        out << '"' << value << '"';
    out << "; allowed: " << allowed;
    m_shared->errors.push_back(out.str());
}

void SettingsReader::addError(const std::string &key, std::string_view allowed)
{
    const auto node = find(key);
    if (!node)
        addErrorAt(m_node ? m_node->Mark().line + 1 : 1, key, "", allowed);
    else
        addErrorAt(node->Mark().line + 1, key, describe(*node), allowed);
}

std::string SettingsReader::require(const std::string &key, std::string_view allowed)
{
    const auto node = find(key);
    if (!node || !node->IsScalar() || node->Scalar().empty()) {
        addError(key, allowed);
        return {};
    }
    return node->Scalar();
}

std::string SettingsReader::text(const std::string &key, std::string_view allowed)
{
    return require(key, allowed);
}

std::string SettingsReader::textOr(const std::string &key, std::string defaultValue)
{
    return has(key) ? text(key) : (m_readKeys.push_back(key), std::move(defaultValue));
}

std::int64_t SettingsReader::integer(const std::string &key, std::int64_t minValue,
                                     std::int64_t maxValue)
{
    const std::string allowed =
        "an integer from " + std::to_string(minValue) + " to " + std::to_string(maxValue);
    const auto node = find(key);
    std::int64_t value = 0;
    const bool isValid = node && YAML::convert<std::int64_t>::decode(*node, value);
    if (!isValid || value < minValue || value > maxValue) {
        addError(key, allowed);
        return minValue;
    }
    return value;
}

std::int64_t SettingsReader::integerOr(const std::string &key, std::int64_t defaultValue,
                                       std::int64_t minValue, std::int64_t maxValue)
{
    return has(key) ? integer(key, minValue, maxValue) : (m_readKeys.push_back(key), defaultValue);
}

double SettingsReader::numberOr(const std::string &key, double defaultValue, double minValue,
                                double maxValue)
{
    const auto node = find(key);
    if (!node)
        return defaultValue;
    double value = 0;
    const bool isValid = YAML::convert<double>::decode(*node, value);
    if (!isValid || !(value >= minValue && value <= maxValue)) {
        addError(key, allowedRange(minValue, maxValue));
        return defaultValue;
    }
    return value;
}

bool SettingsReader::flagOr(const std::string &key, bool defaultValue)
{
    const auto node = find(key);
    if (!node)
        return defaultValue;
    bool value = defaultValue;
    if (!YAML::convert<bool>::decode(*node, value))
        addError(key, "true or false");
    return value;
}

std::vector<std::string> SettingsReader::textList(const std::string &key)
{
    const auto node = find(key);
    if (!node)
        return {};
    std::vector<std::string> values;
    if (!node->IsSequence()) {
        addError(key, "a list of strings");
        return values;
    }
    for (const auto &item : *node) {
        if (item.IsScalar())
            values.push_back(item.Scalar());
        else
            addError(key, "a list of strings");
    }
    return values;
}

std::string SettingsReader::address(const std::string &key)
{
    constexpr std::string_view allowed =
        "IP:PORT with a numeric IP address and a port from 0 to 65535";
    std::string value = require(key, allowed);
    if (!value.empty() && !isIpAndPort(value))
        addError(key, allowed);
    return value;
}

std::string SettingsReader::addressOr(const std::string &key, std::string defaultValue)
{
    return has(key) ? address(key) : (m_readKeys.push_back(key), std::move(defaultValue));
}

SettingsReader SettingsReader::section(const std::string &key)
{
    auto node = find(key);
    if (!node || !node->IsMap()) {
        addError(key, "a mapping");
        node = std::make_shared<YAML::Node>(YAML::NodeType::Map);
    }
    return SettingsReader(m_shared, std::move(node), m_prefix + key + '.');
}

bool SettingsReader::has(const std::string &key) const
{
    return m_node && m_node->IsMap() && (*std::as_const(m_node))[key].IsDefined();
}

Result<Done> SettingsReader::finish()
{
    if (m_node && m_node->IsMap()) {
        for (const auto &entry : *m_node) {
            const std::string key = entry.first.Scalar();
            if (std::find(m_readKeys.begin(), m_readKeys.end(), key) == m_readKeys.end())
                addErrorAt(entry.first.Mark().line + 1, key, describe(entry.second),
                           "nothing, the key is unknown");
        }
    }
    if (m_shared->errors.empty())
        return Done {};
    std::string message;
    for (const auto &error : m_shared->errors)
        message += (message.empty() ? "" : "\n") + error;
    return Error {ErrorCode::InvalidArgument, std::move(message)};
}

} // namespace foxtailring
