#pragma once

#include "foxtailring/base/ErrorCode.h"

#include <msgpack.hpp>

// Error codes are encoded as integers.
MSGPACK_ADD_ENUM(foxtailring::ErrorCode)
