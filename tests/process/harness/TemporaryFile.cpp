#include "TemporaryFile.h"

#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <system_error>
#include <unistd.h>

namespace foxtailring::harness {

namespace {

[[noreturn]] void fail(const std::string &path)
{
    throw std::system_error(errno, std::generic_category(), path);
}

} // namespace

TemporaryFile::TemporaryFile(std::string_view text, std::string_view suffix)
    : m_path((std::filesystem::temp_directory_path() / "foxtailring-XXXXXX").string())
{
    m_path += suffix;
    const int file = ::mkstemps(m_path.data(), static_cast<int>(suffix.size()));
    if (file < 0)
        fail(m_path);
    ::close(file);
    std::ofstream stream(m_path);
    stream << text;
    if (!stream.flush())
        fail(m_path);
}

TemporaryFile::~TemporaryFile()
{
    std::error_code ignored;
    std::filesystem::remove(m_path, ignored);
}

const std::string &TemporaryFile::path() const
{
    return m_path;
}

} // namespace foxtailring::harness
