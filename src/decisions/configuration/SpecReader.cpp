#include "SpecReader.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace foxtailring {

SpecReader::SpecReader(const nlohmann::json &spec)
    : m_spec(spec)
{
    if (!spec.is_object())
        m_errors.emplace_back("spec: allowed: an object");
}

const nlohmann::json *SpecReader::find(const std::string &field)
{
    m_readFields.push_back(field);
    if (!m_spec.is_object())
        return nullptr;
    const auto found = m_spec.find(field);
    return found == m_spec.end() ? nullptr : &*found;
}

void SpecReader::addError(const std::string &field, std::string_view allowed)
{
    const nlohmann::json *value = find(field);
    const std::string shown = value ? value->dump() : "missing";
    m_errors.push_back("spec." + field + ": " + shown + "; allowed: " + std::string(allowed));
}

std::string SpecReader::requiredString(const std::string &field, std::string_view allowed)
{
    const nlohmann::json *value = find(field);
    if (!value || !value->is_string() || value->get_ref<const std::string &>().empty()) {
        addError(field, allowed);
        return {};
    }
    return value->get<std::string>();
}

double SpecReader::number(const std::string &field, double defaultValue, double minValue,
                          double maxValue)
{
    const nlohmann::json *value = find(field);
    if (!value)
        return defaultValue;
    if (!value->is_number()
        || !(value->get<double>() >= minValue && value->get<double>() <= maxValue)) {
        std::ostringstream allowed;
        allowed << "a number from " << minValue << " to " << maxValue;
        addError(field, allowed.str());
        return defaultValue;
    }
    return value->get<double>();
}

std::uint32_t SpecReader::integer(const std::string &field, std::uint32_t defaultValue,
                                  std::uint32_t minValue, std::uint32_t maxValue)
{
    const nlohmann::json *value = find(field);
    if (!value)
        return defaultValue;
    const bool ok = value->is_number_unsigned() && value->get<std::uint64_t>() >= minValue
        && value->get<std::uint64_t>() <= maxValue;
    if (!ok) {
        addError(field,
                 "an integer from " + std::to_string(minValue) + " to " + std::to_string(maxValue));
        return defaultValue;
    }
    return value->get<std::uint32_t>();
}

bool SpecReader::flag(const std::string &field, bool defaultValue)
{
    const nlohmann::json *value = find(field);
    if (!value)
        return defaultValue;
    if (!value->is_boolean()) {
        addError(field, "true or false");
        return defaultValue;
    }
    return value->get<bool>();
}

std::vector<std::string> SpecReader::stringList(const std::string &field)
{
    std::vector<std::string> strings;
    for (const auto &item : array(field)) {
        if (item.is_string() && !item.get_ref<const std::string &>().empty())
            strings.push_back(item.get<std::string>());
        else
            addError(field, "a list of non-empty strings");
    }
    return strings;
}

nlohmann::json SpecReader::array(const std::string &field)
{
    const nlohmann::json *value = find(field);
    if (!value)
        return nlohmann::json::array();
    if (!value->is_array()) {
        addError(field, "a list");
        return nlohmann::json::array();
    }
    return *value;
}

Result<Done> SpecReader::finish()
{
    if (m_spec.is_object()) {
        for (const auto &[field, value] : m_spec.items()) {
            if (std::find(m_readFields.begin(), m_readFields.end(), field) == m_readFields.end())
                addError(field, "this field is not known");
        }
    }
    if (m_errors.empty())
        return Done {};
    std::string message;
    for (const auto &error : m_errors)
        message += (message.empty() ? "" : "\n") + error;
    return Error {ErrorCode::InvalidArgument, std::move(message)};
}

} // namespace foxtailring
