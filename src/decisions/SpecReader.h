#pragma once

#include "foxtailring/base/Result.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief Reads typed fields of a JSON object and collects every fault found.
class SpecReader
{
public:
    explicit SpecReader(const nlohmann::json &spec);

    std::string text(const std::string &field, std::string_view allowed);
    std::string textOr(const std::string &field, std::string fallback, std::string_view allowed);
    double number(const std::string &field, double fallback, double least, double most);
    std::uint32_t integer(const std::string &field, std::uint32_t fallback, std::uint32_t least,
                          std::uint32_t most);
    bool flag(const std::string &field, bool fallback);
    std::vector<std::string> textList(const std::string &field);
    /// \brief The array under \a field; an empty one when it is absent or of another type.
    nlohmann::json array(const std::string &field);

    void fault(const std::string &field, std::string_view allowed);

    /// \brief Ok when no fault was found and no field was left unread; else all faults, one a line.
    Result<Done> finish();

private:
    const nlohmann::json *find(const std::string &field);

    const nlohmann::json &m_spec;
    std::vector<std::string> m_read;
    std::vector<std::string> m_faults;
};

} // namespace foxtailring
