#ifndef GALENALINK_TEST_HTTP_SERVED_HPP
#define GALENALINK_TEST_HTTP_SERVED_HPP

#include "fixture.hpp"
#include <deque>

namespace galenalink::http::test {

/** @brief Server whose exchanges are kept for the test to answer. */
struct served {
  loop Loop;
  std::deque<exchange> Held;
  std::size_t Received{0};
  std::optional<http::server> Server;
  std::uint16_t Port{0};

  explicit served(const server_options &Options = {}) {
    Server.emplace(Loop, Options, [this](exchange Exchange) {
      ++Received;
      Held.push_back(std::move(Exchange));
    });
    Port = listenOrFail(*Server);
  }
  [[nodiscard]] std::unique_ptr<raw_socket>
  connect(const std::string &Text) const {
    auto Socket = std::make_unique<raw_socket>(raw_socket::connectTo(Port));
    Socket->write(Text);
    return Socket;
  }
  bool waitHeld(const std::size_t Count) {
    return wait(Loop, [&] { return Held.size() == Count; });
  }
  bool waitEnd(raw_socket &Socket) {
    return wait(Loop, [&] {
      Socket.poll();
      return Socket.Ended;
    });
  }
  bool waitText(raw_socket &Socket, const std::string &Text) {
    return wait(Loop, [&] {
      Socket.poll();
      return Socket.Read.find(Text) != std::string::npos;
    });
  }
};

} // namespace galenalink::http::test

#endif
