#pragma once

#include <msgpack.hpp>
#include <string>

namespace foxtailring {

struct HttpHeader
{
    std::string name;
    std::string value;

    MSGPACK_DEFINE_MAP(name, value)
};

} // namespace foxtailring
