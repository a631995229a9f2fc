#include "Address.h"

#include <stdexcept>

namespace foxtailring::fakes {

boost::asio::ip::tcp::endpoint parseAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        throw std::invalid_argument("address \"" + address + "\" is not IP:PORT");
    const int port = std::stoi(address.substr(colon + 1));
    return {boost::asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(port)};
}

} // namespace foxtailring::fakes
