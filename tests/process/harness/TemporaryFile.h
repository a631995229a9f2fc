#pragma once

#include <string>
#include <string_view>

namespace foxtailring::harness {

/// \brief File in the system's temporary folder, such as a YAML settings file. Its destructor
/// removes the file.
class TemporaryFile
{
public:
    /// \brief Throws std::system_error when the file cannot be written.
    explicit TemporaryFile(std::string_view text, std::string_view suffix = ".yaml");
    ~TemporaryFile();
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    const std::string &path() const;

private:
    std::string m_path;
};

} // namespace foxtailring::harness
