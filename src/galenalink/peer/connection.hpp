#ifndef GALENALINK_PEER_CONNECTION_HPP
#define GALENALINK_PEER_CONNECTION_HPP

#include "galenalink/http/address.hpp"
#include "galenalink/http/loop.hpp"
#include "galenalink/peer/frame.hpp"
#include "galenalink/wire/fwd.hpp"
#include <functional>
#include <memory>

struct bufferevent;

namespace galenalink::peer::detail {

/**
 * @brief One TCP connection that carries frames. It may be destroyed only
 * outside of its own hooks.
 */
class connection {
public:
  struct callbacks {
    std::function<void()> Connected;
    /** @return Whether the message was valid; otherwise the stream ends. */
    std::function<bool(const wire::peer_message &, std::size_t Bytes)> Received;
    /** Called once; no other hook is called after it. */
    std::function<void(const char *Reason)> Ended;
  };

  /** @brief Takes over an accepted socket. */
  connection(http::loop &Loop, int Socket, std::size_t MaxFrameBytes,
             callbacks Callbacks);
  /** @brief Connects to an address. */
  connection(http::loop &Loop, const http::address &Address,
             std::size_t MaxFrameBytes, callbacks Callbacks);
  ~connection();
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;

  /** @brief Queues a serialized message. */
  void write(std::string_view Payload);
  [[nodiscard]] std::size_t queuedBytes() const noexcept;
  void setLimit(std::size_t MaxFrameBytes) noexcept;
  /**
   * @brief Ends writing once the queue is empty. Reading goes on until the far
   * side has ended as well, so that nothing on its way is lost.
   */
  void finish();
  [[nodiscard]] bool finishing() const noexcept;
  [[nodiscard]] time_point lastReceived() const noexcept;

private:
  void attach();
  void readable();
  void event(short What);
  void drained();
  void end(const char *Reason);

  bufferevent *Stream;
  frame_parser Parser;
  callbacks Callbacks;
  time_point LastReceived;
  bool Finishing{false};
  bool FarEnded{false};
  bool Ended{false};
};

} // namespace galenalink::peer::detail

#endif
