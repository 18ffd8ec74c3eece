#ifndef GALENALINK_PEER_DETAIL_SOCKET_ADDRESS_HPP
#define GALENALINK_PEER_DETAIL_SOCKET_ADDRESS_HPP

#include "galenalink/http/address.hpp"
#include <arpa/inet.h>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>

namespace galenalink::peer::detail {

/** @brief An address in the form that the socket functions take. */
struct socket_address {
  sockaddr_storage Storage{};
  socklen_t Size{sizeof(sockaddr_storage)};

  [[nodiscard]] sockaddr *data() noexcept {
    return reinterpret_cast<sockaddr *>(&Storage);
  }
};

/** @return Nothing if the host is no numeric IP address. */
[[nodiscard]] inline std::optional<socket_address>
toSocketAddress(const http::address &Address) noexcept {
  socket_address Binary;
  auto *V4 = reinterpret_cast<sockaddr_in *>(&Binary.Storage);
  auto *V6 = reinterpret_cast<sockaddr_in6 *>(&Binary.Storage);
  if (inet_pton(AF_INET, Address.Host.c_str(), &V4->sin_addr) == 1) {
    V4->sin_family = AF_INET;
    V4->sin_port = htons(Address.Port);
    Binary.Size = sizeof(sockaddr_in);
    return Binary;
  }
  if (inet_pton(AF_INET6, Address.Host.c_str(), &V6->sin6_addr) == 1) {
    V6->sin6_family = AF_INET6;
    V6->sin6_port = htons(Address.Port);
    Binary.Size = sizeof(sockaddr_in6);
    return Binary;
  }
  return std::nullopt;
}

[[nodiscard]] inline http::address toAddress(const sockaddr *Binary) {
  char Host[INET6_ADDRSTRLEN] = "?";
  if (Binary->sa_family == AF_INET6) {
    const auto *V6 = reinterpret_cast<const sockaddr_in6 *>(Binary);
    inet_ntop(AF_INET6, &V6->sin6_addr, Host, sizeof(Host));
    return {Host, ntohs(V6->sin6_port)};
  }
  const auto *V4 = reinterpret_cast<const sockaddr_in *>(Binary);
  inet_ntop(AF_INET, &V4->sin_addr, Host, sizeof(Host));
  return {Host, ntohs(V4->sin_port)};
}

} // namespace galenalink::peer::detail

#endif
