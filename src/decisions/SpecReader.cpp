#include "SpecReader.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace foxtailring {

SpecReader::SpecReader(const nlohmann::json &spec)
    : m_spec(spec)
{
    if (!spec.is_object())
        m_faults.emplace_back("spec: allowed: an object");
}

const nlohmann::json *SpecReader::find(const std::string &field)
{
    m_read.push_back(field);
    if (!m_spec.is_object())
        return nullptr;
    const auto found = m_spec.find(field);
    return found == m_spec.end() ? nullptr : &*found;
}

void SpecReader::fault(const std::string &field, std::string_view allowed)
{
    const nlohmann::json *value = find(field);
    const std::string shown = value ? value->dump() : "missing";
    m_faults.push_back("spec." + field + ": " + shown + "; allowed: " + std::string(allowed));
}

std::string SpecReader::text(const std::string &field, std::string_view allowed)
{
    const nlohmann::json *value = find(field);
    if (!value || !value->is_string() || value->get_ref<const std::string &>().empty()) {
        fault(field, allowed);
        return {};
    }
    return value->get<std::string>();
}

std::string SpecReader::textOr(const std::string &field, std::string fallback,
                               std::string_view allowed)
{
    return find(field) ? text(field, allowed) : std::move(fallback);
}

double SpecReader::number(const std::string &field, double fallback, double least, double most)
{
    const nlohmann::json *value = find(field);
    if (!value)
        return fallback;
    if (!value->is_number() || !(value->get<double>() >= least && value->get<double>() <= most)) {
        std::ostringstream allowed;
        allowed << "a number from " << least << " to " << most;
        fault(field, allowed.str());
        return fallback;
    }
    return value->get<double>();
}

std::uint32_t SpecReader::integer(const std::string &field, std::uint32_t fallback,
                                  std::uint32_t least, std::uint32_t most)
{
    const nlohmann::json *value = find(field);
    if (!value)
        return fallback;
    const bool ok = value->is_number_unsigned() && value->get<std::uint64_t>() >= least
        && value->get<std::uint64_t>() <= most;
    if (!ok) {
        fault(field, "an integer from " + std::to_string(least) + " to " + std::to_string(most));
        return fallback;
    }
    return value->get<std::uint32_t>();
}

bool SpecReader::flag(const std::string &field, bool fallback)
{
    const nlohmann::json *value = find(field);
    if (!value)
        return fallback;
    if (!value->is_boolean()) {
        fault(field, "true or false");
        return fallback;
    }
    return value->get<bool>();
}

std::vector<std::string> SpecReader::textList(const std::string &field)
{
    std::vector<std::string> out;
    for (const auto &item : array(field)) {
        if (item.is_string() && !item.get_ref<const std::string &>().empty())
            out.push_back(item.get<std::string>());
        else
            fault(field, "a list of non-empty strings");
    }
    return out;
}

nlohmann::json SpecReader::array(const std::string &field)
{
    const nlohmann::json *value = find(field);
    if (!value)
        return nlohmann::json::array();
    if (!value->is_array()) {
        fault(field, "a list");
        return nlohmann::json::array();
    }
    return *value;
}

Result<Done> SpecReader::finish()
{
    if (m_spec.is_object()) {
        for (const auto &[field, value] : m_spec.items()) {
            if (std::find(m_read.begin(), m_read.end(), field) == m_read.end())
                fault(field, "this field is not known");
        }
    }
    if (m_faults.empty())
        return Done {};
    std::string all;
    for (const auto &one : m_faults)
        all += (all.empty() ? "" : "\n") + one;
    return Error {ErrorCode::InvalidArgument, std::move(all)};
}

} // namespace foxtailring
