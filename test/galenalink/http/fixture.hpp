#ifndef GALENALINK_TEST_HTTP_FIXTURE_HPP
#define GALENALINK_TEST_HTTP_FIXTURE_HPP

#include "galenalink/http/client.hpp"
#include "galenalink/http/server.hpp"
#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace galenalink::http::test {

inline constexpr const char *Loopback = "127.0.0.1";

inline std::uint16_t listenOrFail(server &Server) {
  return tryOr([&] { return Server.listen(Loopback, 0); },
               [](const error &Error) -> std::uint16_t {
                 BOOST_FAIL(Error.Message);
                 return 0;
               });
}

/** @brief Plain socket, for what the client and the server can't do wrong. */
class raw_socket {
public:
  explicit raw_socket(const int Descriptor) : Descriptor{Descriptor} {
    fcntl(Descriptor, F_SETFL, fcntl(Descriptor, F_GETFL) | O_NONBLOCK);
  }
  ~raw_socket() { disconnect(); }
  raw_socket(const raw_socket &) = delete;
  raw_socket &operator=(const raw_socket &) = delete;

  static int connectTo(const std::uint16_t Port) {
    const int Made = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE(connect(Made, reinterpret_cast<sockaddr *>(&Address),
                          sizeof(Address)) == 0);
    return Made;
  }

  void write(const std::string &Text) const {
    (void)send(Descriptor, Text.data(), Text.size(), MSG_NOSIGNAL);
  }
  /** @return Bytes written; 0 if the peer reads too slowly. */
  [[nodiscard]] std::size_t writeSome(const std::string &Text) const {
    const ssize_t Sent =
        send(Descriptor, Text.data(), Text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    return Sent < 0 ? 0 : static_cast<std::size_t>(Sent);
  }
  /** @brief Reads what is there; sets `Ended` at the end of the stream. */
  void poll() {
    char Buffer[4096];
    ssize_t Got = 0;
    while ((Got = recv(Descriptor, Buffer, sizeof(Buffer), 0)) > 0)
      Read.append(Buffer, static_cast<std::size_t>(Got));
    Ended = Ended || Got == 0 || (Got < 0 && errno != EAGAIN);
  }
  void endWriting() const { shutdown(Descriptor, SHUT_WR); }
  /** @brief Makes `disconnect` reset the connection. */
  void reset() const {
    const linger Hard{1, 0};
    setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Hard, sizeof(Hard));
  }
  void disconnect() {
    if (Descriptor >= 0)
      close(Descriptor);
    Descriptor = -1;
  }

  std::string Read;
  bool Ended{false};

private:
  int Descriptor;
};

/** @brief Listening socket whose connections a test serves byte by byte. */
class raw_listener {
public:
  raw_listener() : Descriptor{socket(AF_INET, SOCK_STREAM, 0)} {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto *Plain = reinterpret_cast<sockaddr *>(&Address);
    socklen_t Size = sizeof(Address);
    BOOST_REQUIRE(bind(Descriptor, Plain, Size) == 0);
    BOOST_REQUIRE(getsockname(Descriptor, Plain, &Size) == 0);
    Port = ntohs(Address.sin_port);
    BOOST_REQUIRE(::listen(Descriptor, 16) == 0);
    fcntl(Descriptor, F_SETFL, O_NONBLOCK);
  }
  ~raw_listener() { close(Descriptor); }
  raw_listener(const raw_listener &) = delete;
  raw_listener &operator=(const raw_listener &) = delete;

  /** @return The next connection, null if there is none. */
  [[nodiscard]] std::unique_ptr<raw_socket> next() const {
    const int Accepted = accept(Descriptor, nullptr, nullptr);
    return Accepted < 0 ? nullptr : std::make_unique<raw_socket>(Accepted);
  }

  std::uint16_t Port{0};

private:
  int Descriptor;
};

/** @brief Runs the loop until the condition holds, polling it. */
[[nodiscard]] inline bool wait(loop &Loop,
                               const std::function<bool()> &Condition) {
  const auto Tick = Loop.every(std::chrono::milliseconds{1}, [] {});
  return Loop.runUntil(Condition, boot_clock::now() + std::chrono::seconds{20});
}

} // namespace galenalink::http::test

#endif
