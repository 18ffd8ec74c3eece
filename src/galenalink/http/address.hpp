#ifndef GALENALINK_HTTP_ADDRESS_HPP
#define GALENALINK_HTTP_ADDRESS_HPP

#include "galenalink/core/result.hpp"
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace galenalink::http {

/** @brief Numeric IP address and port; names are never resolved. */
struct address {
  std::string Host;
  std::uint16_t Port{0};

  [[nodiscard]] bool operator==(const address &) const = default;
  [[nodiscard]] bool operator<(const address &Other) const noexcept {
    return std::tie(Host, Port) < std::tie(Other.Host, Other.Port);
  }
};

/** @brief Formats as `host:port`, with brackets around an IPv6 host. */
[[nodiscard]] std::string toString(const address &Address);

/**
 * @brief Parses `host:port` or `[host]:port`.
 * @return The address; `BadInput` if the host is no numeric IP address or the
 * port is not in 0 to 65535.
 */
[[nodiscard]] result<address> parseAddress(std::string_view Text);

} // namespace galenalink::http

#endif
