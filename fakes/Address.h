#pragma once

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace foxtailring::fakes {

/// \brief Parses `IP:PORT`; throws std::exception when it is anything else.
boost::asio::ip::tcp::endpoint parseAddress(const std::string &address);

} // namespace foxtailring::fakes
