#ifndef GALENALINK_HTTP_SERVER_HPP
#define GALENALINK_HTTP_SERVER_HPP

#include "galenalink/core/result.hpp"
#include "galenalink/http/exchange.hpp"
#include "galenalink/http/loop.hpp"
#include <cstddef>
#include <string>

namespace galenalink::http {

struct server_options {
  std::size_t MaxHeaderBytes{16U << 10U};
  std::size_t MaxBodyBytes{8U << 20U};
  /** Connections beyond this are closed when they are accepted. */
  std::size_t MaxConnections{1024};
  /** From the first byte of a request to its last. */
  duration ReceiveTimeout{std::chrono::seconds{10}};
  /** Between requests on one connection, and for a stalled reply. */
  duration IdleTimeout{std::chrono::seconds{60}};
};

/** @brief HTTP/1.1 server on one listening socket. */
class server {
public:
  using handler = std::function<void(exchange)>;

  server(loop &Loop, server_options Options, handler Handler);
  ~server();
  server(const server &) = delete;
  server &operator=(const server &) = delete;

  /**
   * @brief Starts to accept connections; to be called once.
   * @param Port 0 takes a free port.
   * @return The bound port; `Unavailable` if the address can't be bound.
   */
  [[nodiscard]] result<std::uint16_t> listen(const std::string &Host,
                                             std::uint16_t Port);
  /** @return The bound port; 0 before `listen`. */
  [[nodiscard]] std::uint16_t port() const noexcept;
  /**
   * @brief Closes the listening socket and idle connections. Requests that are
   * being received or handled are completed, and their connections closed.
   */
  void stopAccepting();
  /** @return Requests that were received but whose reply is not written yet. */
  [[nodiscard]] std::size_t openExchanges() const noexcept;
  [[nodiscard]] std::size_t connections() const noexcept;

  struct impl;

private:
  std::unique_ptr<impl> Impl;
};

} // namespace galenalink::http

#endif
