#ifndef GALENALINK_HTTP_MESSAGE_HPP
#define GALENALINK_HTTP_MESSAGE_HPP

#include "galenalink/core/enum_names.hpp"
#include "galenalink/core/error.hpp"
#include "galenalink/core/shared_text.hpp"
#include "galenalink/core/time.hpp"
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace galenalink::http {

enum class method : std::uint8_t { Get, Post, Put, Delete };

inline constexpr enum_names<method, 4> MethodNames{{
    {method::Get, "GET"},
    {method::Post, "POST"},
    {method::Put, "PUT"},
    {method::Delete, "DELETE"},
}};

struct header {
  std::string Name;
  std::string Value;
};

using headers = std::vector<header>;

/** @brief Value of the first header with the name, ignoring case. */
[[nodiscard]] std::optional<std::string_view>
findHeader(const headers &Headers, std::string_view Name) noexcept;

/** @brief Percent-encodes one segment of a path. */
[[nodiscard]] std::string encodeSegment(std::string_view Text);
/** @brief Decodes one segment; bytes that are not valid stay as they are. */
[[nodiscard]] std::string decodeSegment(std::string_view Text);

struct response {
  int Status{0};
  headers Headers;
  std::string Body;
};

/** @brief Request that a connection carries before all others, to identify the
 * process at its other end. */
struct connection_check {
  /** The process expected. A connection that was checked for another one is not
   * used. */
  std::string Peer;
  method Method{method::Get};
  /** Path and query, percent-encoded. */
  std::string Path;
  headers Headers;
  shared_text Body;
  /** Whether the response is that of the expected process. If not, the
   * connection is closed. */
  std::function<bool(const response &)> Accepts;
  /** The response to an accepted check is that of the request, too, which is
   * not written then. */
  bool AnswersRequest{false};
};

struct request {
  method Method{method::Get};
  /** Path and query, percent-encoded. */
  std::string Path;
  headers Headers;
  shared_text Body;
  /** The client sends no first byte at or after this time. */
  time_point WriteBy{time_point::max()};
  /** If set, the request is written only to a connection that has passed the
   * check. */
  std::optional<connection_check> Check{};
};

/** @brief Whether a failed request may have reached the server. */
enum class delivery : std::uint8_t {
  /** No byte of the request left this process. */
  NotSent,
  /** Bytes may have left; the request may have taken effect. */
  Unknown,
};

inline constexpr enum_names<delivery, 2> DeliveryNames{{
    {delivery::NotSent, "not-sent"},
    {delivery::Unknown, "unknown"},
}};

/** @brief A request that got no complete response. */
struct failure {
  delivery Delivery{delivery::Unknown};
  error Error;
};

/** @brief What a request ended with. */
using answer = std::variant<response, failure>;

} // namespace galenalink::http

#endif
