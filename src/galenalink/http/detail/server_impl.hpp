#ifndef GALENALINK_HTTP_DETAIL_SERVER_IMPL_HPP
#define GALENALINK_HTTP_DETAIL_SERVER_IMPL_HPP

#include "galenalink/http/detail/exchange_state.hpp"
#include "galenalink/http/detail/memory_use.hpp"
#include "galenalink/http/server.hpp"
#include "galenalink/telemetry/rate_limit.hpp"
#include <event2/bufferevent.h>
#include <list>
#include <unordered_map>

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;
struct evbuffer_cb_entry;

namespace galenalink::http {

namespace detail {

enum class phase : std::uint8_t {
  Idle,
  Receiving,
  Handling,
  Replying,
  /** evhttp has rejected a request and released the connection. */
  Lingering,
};

struct server_connection;
using connection_list = std::list<server_connection *>;

/** @brief One accepted connection. */
struct server_connection {
  server::impl &Server;
  /** This object holds a reference, so that the descriptor stays open. */
  bufferevent *Stream;
  /** Null until the first request was received, and once evhttp has released
   * the connection. */
  evhttp_connection *Http{nullptr};
  evbuffer_cb_entry *InputHook{nullptr};
  phase Phase{phase::Receiving};
  /** When the phase began. */
  time_point Since;
  receive_account Receive;
  /** Bytes of the reply that is being written. */
  std::size_t ReplyBytes{0};
  /** What `memory_use::Connections` contains for it. */
  memory_amount Charged;
  /** The list of its phase, and its place there. */
  connection_list *Order;
  connection_list::iterator Position;
  /** It has asked for a higher limit, and is in `Large`. */
  bool IsLarge{false};
  /** Its input buffer takes no more bytes than the limit. */
  bool InputLimited{false};
  /** Not read from until it gets a higher limit. */
  bool Waiting{false};
  /** The server is closing it by itself. */
  bool Closing{false};
  connection_list::iterator LargePosition;
  std::weak_ptr<exchange::state> Current;

  server_connection(server::impl &Server, bufferevent *Stream);
  server_connection(const server_connection &) = delete;
  server_connection &operator=(const server_connection &) = delete;
  ~server_connection();

  /** @return Whether its next step is up to the client. */
  [[nodiscard]] bool waitsForClient() const noexcept {
    return Phase != phase::Handling;
  }
};

} // namespace detail

/** @brief `server.cpp` accepts connections and passes on requests,
 * `server_limits.cpp` enforces the limits. */
struct server::impl {
  using connection = detail::server_connection;

  loop &Loop;
  server_options Options;
  handler Handler;
  evhttp *Http{nullptr};
  evhttp_bound_socket *Socket{nullptr};
  std::uint16_t Port{0};
  bool Stopping{false};
  server_counters Counters;
  std::shared_ptr<detail::memory_use> Memory{
      std::make_shared<detail::memory_use>()};
  /** Connections by phase, the one that has been in it for longest first. */
  detail::connection_list Receiving;
  /** Idle, or their reply is being written. */
  detail::connection_list Unused;
  detail::connection_list Handling;
  detail::connection_list Lingering;
  /** Connections that have asked for a higher limit, in this order. */
  detail::connection_list Large;
  std::unordered_map<bufferevent *, std::unique_ptr<connection>> Connections;
  std::size_t WaitingForLimit{0};
  bool CheckScheduled{false};
  /** Connections whose request has reached its limit. */
  std::vector<bufferevent *> AtLimit;
  timer Sweep;
  timer AcceptTimer;
  timer Deadline;
  time_point DeadlineAt{NoDeadline};
  telemetry::rate_limit LogRate;
  /** Expires with the server; posted functions check it. */
  std::shared_ptr<int> Alive{std::make_shared<int>(0)};

  impl(loop &Loop, server_options Options, handler Handler);

  void accept(bufferevent *Stream);
  /** @brief Finds connections that evhttp has released. */
  void sweep();
  void scheduleSweep();
  /** @brief Discards what the client still sends. */
  void linger(connection &Connection);
  void drop(bufferevent *Stream);
  void setPhase(connection &Connection, detail::phase Phase);
  void received(evhttp_request *Request);
  void closed(evhttp_connection *Closed);
  connection &firstRequest(evhttp_connection *From);
  std::shared_ptr<exchange::state> open(connection &Connection, method Method,
                                        evhttp_request *Request);
  void replying(connection &Connection, evhttp_request *Request,
                std::size_t Bytes);

  void inputChanged(connection &Connection, std::size_t Added,
                    std::size_t Removed);
  /** @brief Stops reading while the input has reached the limit. A limit is set
   * only then, since libevent's costs time at each access to the input. */
  static void limitInput(connection &Connection);
  /** @brief Makes the counted memory of a connection current. */
  void charge(connection &Connection);
  /** @brief Moves the memory of a complete request to its exchange. */
  detail::exchange_charge takeCharge(connection &Connection, std::size_t Body);
  /** @return Whether a complete request fits into the memory left. */
  [[nodiscard]] bool admits() const noexcept;
  /** @brief Closes the connections that have waited for their client for
   * longest while there are more than allowed. */
  void makeRoom();
  /** @return Whether a connection may be closed to make room. */
  [[nodiscard]] bool canMakeRoom() const;
  void pauseAcceptingIfFull();
  void resumeAccepting();
  [[nodiscard]] connection *longestWaiting() const noexcept;
  void close(connection &Connection);
  void scheduleCheck();
  void check();
  void raiseLimit(connection &Connection);
  [[nodiscard]] bool tryRaiseLimit(connection &Connection);
  void raiseWaiting();
  void leaveLarge(connection &Connection);
  void releaseMemory();
  void armDeadline(time_point When);
  void closeOverdue();
  [[nodiscard]] detail::connection_list &listOf(detail::phase Phase) noexcept;
  [[nodiscard]] duration limitOf(const detail::connection_list &Order) const;
  void logLimit(std::string_view Event);
};

} // namespace galenalink::http

#endif
