#ifndef GALENALINK_HTTP_DETAIL_PEER_CLOSED_HPP
#define GALENALINK_HTTP_DETAIL_PEER_CLOSED_HPP

#include <cerrno>
#include <sys/socket.h>

namespace galenalink::http::detail {

/** @brief Whether the socket's peer has closed and all that it sent was read.
 * Reads nothing from the socket. */
[[nodiscard]] inline bool peerClosed(const int Socket) noexcept {
  char Byte = 0;
  const auto Got = recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Got == 0 ||
         (Got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

} // namespace galenalink::http::detail

#endif
