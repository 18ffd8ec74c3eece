#ifndef GALENALINK_HTTP_CLIENT_HPP
#define GALENALINK_HTTP_CLIENT_HPP

#include "galenalink/core/time.hpp"
#include "galenalink/http/address.hpp"
#include "galenalink/http/fwd.hpp"
#include "galenalink/http/message.hpp"
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace galenalink::http {

struct client_options {
  /** Open connections to one address, idle ones included. */
  std::size_t MaxConnections{64};
  /** Idle connections to all addresses; beyond that, the one that has been idle
   * for longest is closed. */
  std::size_t MaxIdle{4096};
  /** Requests to one address that wait for a connection. */
  std::size_t MaxWaiting{1024};
  std::size_t MaxHeaderBytes{16U << 10U};
  std::size_t MaxBodyBytes{8U << 20U};
  /**
   * Unused connections are closed after this. It is shorter than the servers'
   * own limit, because a request that meets a closing connection has an
   * unknown outcome.
   */
  duration IdleTimeout{std::chrono::seconds{5}};
  /**
   * Bytes of these connections are read and written ahead of other events. It
   * is meant for few connections whose timeouts must hold while the loop is
   * busy; callbacks keep their turn.
   */
  bool BeforeOtherEvents{false};
  /** Callbacks, too, are called ahead of other events. It is meant for short
   * ones that must not wait while the loop is busy. */
  bool UrgentCallbacks{false};
};

/** @brief Bytes of HTTP that a client has exchanged, without those of TCP. */
struct traffic {
  std::uint64_t Sent{0};
  std::uint64_t Received{0};
};

/** @brief Handle of a request in progress; destroying it cancels nothing. */
class call {
public:
  struct state;

  call() noexcept = default;
  explicit call(std::weak_ptr<state> State) noexcept;

  /**
   * @brief Abandons the request; its callback will not be called. A connection
   * that is in use for it is closed.
   * @return Whether bytes may have been sent; nothing if the request had ended.
   */
  std::optional<delivery> cancel() noexcept;

private:
  std::weak_ptr<state> State;
};

/**
 * @brief HTTP/1.1 client with a bounded pool of connections for each address.
 * A request is written at most once: never repeated and never moved to another
 * connection. A request with a connection check is not sent if the check fails
 * or gets no response.
 */
class client {
public:
  using callback = std::function<void(answer)>;

  client(loop &Loop, client_options Options);
  /** @brief Abandons all requests without calling their callbacks. */
  ~client();
  client(const client &) = delete;
  client &operator=(const client &) = delete;

  /**
   * @brief Sends a request.
   * @param Deadline The request is abandoned at this time.
   * @param Callback Called once from the loop, never from within `send`.
   */
  call send(const address &Address, request Request, time_point Deadline,
            callback Callback);

  [[nodiscard]] const traffic &exchanged() const noexcept;
  /** @return Open connections to the address, idle ones included. */
  [[nodiscard]] std::size_t connections(const address &Address) const;
  /** @brief Closes the idle connections to an address that is gone. */
  void forget(const address &Address);

  struct impl;

private:
  std::unique_ptr<impl> Impl;
};

} // namespace galenalink::http

#endif
