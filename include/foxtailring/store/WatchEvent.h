#pragma once

#include "foxtailring/store/KeyValue.h"

namespace foxtailring {

/// \brief One change reported by a watch.
struct WatchEvent
{
    bool deleted = false;
    KeyValue pair; ///< its value is empty when deleted
};

} // namespace foxtailring
