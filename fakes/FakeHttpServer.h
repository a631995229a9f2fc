#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace foxtailring::fakes {

class FakeExchange;

using FakeHandler = std::function<void(FakeExchange &)>;

/// \brief Blocking HTTP/1.1 server with one detached thread per connection. Lives until the process
/// ends. The handler runs on several threads at once.
class FakeHttpServer
{
public:
    explicit FakeHttpServer(FakeHandler handler);
    ~FakeHttpServer();

    /// \brief Accepts on \a address (`IP:PORT`, port 0: chosen by the system); returns the port.
    /// Throws std::exception when the address cannot be bound.
    std::uint16_t listen(const std::string &address);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace foxtailring::fakes
