#pragma once

#include "foxtailring/base/StructuredLog.h"

#include <exception>
#include <functional>
#include <utility>

namespace foxtailring {

/// \brief Runs \a hook unless it is empty; an exception is logged. False after an exception.
///
/// Hooks are called from callbacks of nghttp2, a C library that exceptions must not cross.
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
