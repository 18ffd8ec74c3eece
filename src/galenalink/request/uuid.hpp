#ifndef GALENALINK_REQUEST_UUID_HPP
#define GALENALINK_REQUEST_UUID_HPP

#include "galenalink/core/fwd.hpp"
#include <optional>
#include <string_view>

namespace galenalink::request {

/**
 * @brief Issue time of a UUID version 7 (RFC 9562, section 5.7).
 * @param Text The form of RFC 9562 section 4, either case of hex digits.
 * @return Milliseconds since the Unix epoch; nothing if the text is no UUID,
 * or one of another version or variant.
 */
[[nodiscard]] std::optional<wall_ms>
uuid7IssueTime(std::string_view Text) noexcept;

} // namespace galenalink::request

#endif
