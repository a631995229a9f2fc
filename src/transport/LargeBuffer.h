#pragma once

#include <cstddef>
#include <string>

namespace foxtailring {

/// \brief Clears \a buffer, and frees its memory if its capacity exceeds 32 KiB.
///
/// Otherwise each of thousands of idle connections would keep a buffer as large as its largest
/// message.
inline void clearBuffer(std::string &buffer)
{
    constexpr std::size_t maxRetainedBytes = 32 * 1024;
    if (buffer.capacity() > maxRetainedBytes)
        std::string().swap(buffer);
    else
        buffer.clear();
}

} // namespace foxtailring
