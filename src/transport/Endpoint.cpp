#include "foxtailring/transport/Endpoint.h"

#include "Net.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace foxtailring {

namespace {

Error notAnEndpoint(std::string_view text)
{
    return {ErrorCode::InvalidArgument, "\"" + std::string(text) + "\" is not IP:PORT"};
}

std::string_view withoutBrackets(std::string_view ip)
{
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        return ip.substr(1, ip.size() - 2);
    return ip;
}

// A connection to an unspecified address goes to this machine.
bool isHostAddress(const net::ip::address &address)
{
    if (address.is_v6() && address.to_v6().is_v4_mapped())
        return isHostAddress(net::ip::make_address_v4(net::ip::v4_mapped, address.to_v6()));
    return !address.is_unspecified() && !address.is_multicast()
        && address != net::ip::address(net::ip::address_v4::broadcast());
}

} // namespace

Result<Endpoint> Endpoint::parse(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return notAnEndpoint(text);
    const std::string_view host = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    const std::string_view ip = withoutBrackets(host);

    // make_address() ignores what follows a zero byte.
    if (ip.find('\0') != std::string_view::npos)
        return notAnEndpoint(text);
    ErrorStatus status;
    const auto address = net::ip::make_address(std::string(ip), status);
    // IPv6 addresses must be in brackets; otherwise the last group would be parsed as the port.
    if (status || address.is_v6() != (ip.size() != host.size()))
        return notAnEndpoint(text);

    Endpoint endpoint {std::string(ip), 0};
    const auto end = port.data() + port.size();
    const auto parsed = std::from_chars(port.data(), end, endpoint.port);
    if (port.empty() || parsed.ec != std::errc() || parsed.ptr != end)
        return notAnEndpoint(text);
    return endpoint;
}

bool Endpoint::isConnectable() const
{
    ErrorStatus status;
    const auto address = net::ip::make_address(ip, status);
    return !status && port != 0 && isHostAddress(address);
}

std::string Endpoint::toString() const
{
    const bool isV6 = ip.find(':') != std::string::npos;
    return (isV6 ? "[" + ip + "]" : ip) + ":" + std::to_string(port);
}

} // namespace foxtailring
