#ifndef GALENALINK_CONFIG_DIAGNOSTIC_HPP
#define GALENALINK_CONFIG_DIAGNOSTIC_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace galenalink::config {

/** @brief An error in a document, with its position and a correction. */
struct diagnostic {
  std::string File;
  /** Counted from 1; 0 if the position is not known. */
  std::uint32_t Line{0};
  std::uint32_t Column{0};
  /** Path of the value, such as `/pools/0/min_up`. */
  std::string Path;
  /** What is wrong and what would be right. */
  std::string Message;
};

/** @brief Formats as `file:line:column: label: path: message`.
 * @param Label Such as a severity; left out if empty. */
[[nodiscard]] std::string toString(const diagnostic &Diagnostic,
                                   std::string_view Label = {});

} // namespace galenalink::config

#endif
