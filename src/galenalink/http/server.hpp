#ifndef GALENALINK_HTTP_SERVER_HPP
#define GALENALINK_HTTP_SERVER_HPP

#include "galenalink/core/result.hpp"
#include "galenalink/http/exchange.hpp"
#include "galenalink/http/loop.hpp"
#include <cstddef>
#include <string>

namespace galenalink::http {

struct server_options {
  /** Name of the listener in log lines and metrics. */
  std::string Name{"http"};
  std::size_t MaxHeaderBytes{16U << 10U};
  std::size_t MaxBodyBytes{8U << 20U};
  /** When one more is accepted, the connection that has waited for its client
   * for longest is closed, if that is at least `MinWaitForRoom`. Otherwise no
   * connection is accepted meanwhile. */
  std::size_t MaxConnections{1024};
  duration MinWaitForRoom{std::chrono::milliseconds{200}};
  /**
   * Memory of all connections and open requests: the first part of each request
   * (`MaxHeaderBytes` and a page), its header lines, and replies that are not
   * read. Above this, the connections that hold most are closed, and requests
   * are refused with status 503 if that is not enough.
   */
  std::size_t MaxBufferedBytes{32U << 20U};
  /**
   * Memory of requests beyond that part. Further large requests wait unread;
   * the first one is always received, whatever its size. If requests that were
   * received hold it all, others are refused with status 503.
   */
  std::size_t MaxLargeRequestBytes{32U << 20U};
  /** From the first byte of a request to its last. */
  duration ReceiveTimeout{std::chrono::seconds{10}};
  /** Between requests on one connection, and for a stalled reply. */
  duration IdleTimeout{std::chrono::seconds{60}};
  /** After a request that was rejected before it was complete: what the client
   * still sends is discarded until it closes or this time has passed. A socket
   * that is closed with unread input resets the connection, and the client may
   * lose the response. */
  duration LingerTimeout{std::chrono::seconds{2}};
};

/** @brief Effects of a server's limits since its start. */
struct server_counters {
  /** Connections closed because there were too many. */
  std::uint64_t ClosedForRoom{0};
  /** Connections closed because of the memory that they held. */
  std::uint64_t ClosedForMemory{0};
  /** Connections closed by `ReceiveTimeout` or `IdleTimeout`. */
  std::uint64_t TimedOut{0};
  /** Times that a large request had to wait. */
  std::uint64_t LargeDelayed{0};
  /** Requests refused for lack of memory; they were not handled. */
  std::uint64_t Refused{0};
  /** Requests that were malformed, larger than the listener allows or broken
   * off by the client; they were not handled. */
  std::uint64_t Invalid{0};
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
  /** @return Memory of requests and unread replies by the server's count. */
  [[nodiscard]] std::size_t heldBytes() const noexcept;
  [[nodiscard]] const server_counters &counters() const noexcept;
  [[nodiscard]] const std::string &name() const noexcept;

  struct impl;

private:
  std::unique_ptr<impl> Impl;
};

} // namespace galenalink::http

#endif
