#pragma once

#include "foxtailring/store/KeyValue.h"

namespace foxtailring {

/// \brief One change that a watch reports.
struct WatchEvent
{
    bool deleted = false;
    KeyValue pair; ///< value is empty when deleted
};

} // namespace foxtailring
