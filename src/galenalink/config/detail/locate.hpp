#ifndef GALENALINK_CONFIG_DETAIL_LOCATE_HPP
#define GALENALINK_CONFIG_DETAIL_LOCATE_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace galenalink::config::detail {

/** @brief Line and column in a text, both counted from 1. */
struct position {
  std::uint32_t Line{1};
  std::uint32_t Column{1};
};

/** @brief Position of a byte; the end of the text if it is beyond it. */
[[nodiscard]] position positionOf(std::string_view Text,
                                  std::size_t Byte) noexcept;

/**
 * @brief Finds a value in a JSON text with comments.
 *
 * The JSON library does not keep positions, so they are looked up again, only
 * when there is an error to report.
 *
 * @param Text Well-formed JSON with comments.
 * @param Path JSON pointer (RFC 6901) without escapes.
 * @return Position of the value's key, or of the deepest parent found.
 */
[[nodiscard]] position locate(std::string_view Text, std::string_view Path);

/** @return Offsets of the keys that an earlier key of the same object equals.
 * @param Text Well-formed JSON with comments. */
[[nodiscard]] std::vector<std::size_t> findRepeatedKeys(std::string_view Text);

} // namespace galenalink::config::detail

#endif
