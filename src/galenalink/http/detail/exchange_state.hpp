#ifndef GALENALINK_HTTP_DETAIL_EXCHANGE_STATE_HPP
#define GALENALINK_HTTP_DETAIL_EXCHANGE_STATE_HPP

#include "galenalink/http/detail/memory_use.hpp"
#include "galenalink/http/exchange.hpp"

struct evhttp_request;
struct event;

namespace galenalink::http {

/** @brief What an exchange shares with the connection it came from. */
struct exchange::state {
  request Received;
  /** Null once the reply was given or the connection is gone. */
  evhttp_request *Request{nullptr};
  event *CloseWatch{nullptr};
  std::function<void()> PeerClosed;
  /** Called with the request and the size of the body before its reply is
   * written. */
  std::function<void(evhttp_request *, std::size_t)> BeforeReply;
  detail::exchange_charge Charge;

  state() = default;
  state(const state &) = delete;
  state &operator=(const state &) = delete;
  ~state();

  void stopWatching() noexcept;
  void watch();
};

} // namespace galenalink::http

#endif
