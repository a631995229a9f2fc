#pragma once

#include "foxtailring/base/ErrorCode.h"

#include <msgpack.hpp>

// Error codes travel as integers.
MSGPACK_ADD_ENUM(foxtailring::ErrorCode)
