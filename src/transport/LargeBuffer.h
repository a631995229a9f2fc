#pragma once

#include <cstddef>
#include <string>

namespace foxtailring {

/// \brief Empties \a buffer; frees its memory when one long message has made it large.
///
/// Thousands of idle connections would otherwise each keep the size of their largest message.
inline void emptyBuffer(std::string &buffer)
{
    constexpr std::size_t keptBytes = 32 * 1024;
    if (buffer.capacity() > keptBytes)
        std::string().swap(buffer);
    else
        buffer.clear();
}

} // namespace foxtailring
