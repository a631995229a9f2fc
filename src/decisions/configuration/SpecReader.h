#pragma once

#include "foxtailring/base/Result.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief Reads typed fields of a resource's `spec` object and collects all errors.
///
/// A reader adds an error when the field has the wrong type or a value that is not allowed, and
/// returns the default then. \a allowed describes the allowed values for the error message.
class SpecReader
{
public:
    explicit SpecReader(const nlohmann::json &spec);

    std::string requiredString(const std::string &field, std::string_view allowed);
    double number(const std::string &field, double defaultValue, double minValue, double maxValue);
    std::uint32_t integer(const std::string &field, std::uint32_t defaultValue,
                          std::uint32_t minValue, std::uint32_t maxValue);
    bool flag(const std::string &field, bool defaultValue);
    std::vector<std::string> stringList(const std::string &field);
    /// \brief Returns the array in \a field; an empty one if it is absent or of another type.
    nlohmann::json array(const std::string &field);

    void addError(const std::string &field, std::string_view allowed);

    /// \brief InvalidArgument with one line per error if there was any; a field that was never read
    /// counts as unknown.
    Result<Done> finish();

private:
    const nlohmann::json *find(const std::string &field);

    const nlohmann::json &m_spec;
    std::vector<std::string> m_readFields;
    std::vector<std::string> m_errors;
};

} // namespace foxtailring
