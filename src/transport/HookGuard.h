#pragma once

#include "foxtailring/base/StructuredLog.h"

#include <exception>
#include <functional>
#include <utility>

namespace foxtailring {

/// \brief Runs \a hook unless it is empty. Logs an exception and returns false after one.
///
/// Hooks also run inside callbacks of nghttp2, a C library that exceptions must not pass through.
template <typename Hook, typename... Arguments>
bool runHook(const Hook &hook, Arguments &&...arguments) noexcept
{
    if (!hook)
        return true;
    try {
        hook(std::forward<Arguments>(arguments)...);
        return true;
    } catch (const std::exception &exception) {
        StructuredLog::warn("hookException", {{"message", exception.what()}});
        return false;
    }
}

} // namespace foxtailring
