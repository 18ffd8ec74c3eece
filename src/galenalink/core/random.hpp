#ifndef GALENALINK_CORE_RANDOM_HPP
#define GALENALINK_CORE_RANDOM_HPP

#include "galenalink/core/fwd.hpp"

namespace galenalink {

/**
 * @brief Draws a nonzero 64-bit number from the operating system's entropy
 * source. Used for identifiers that must not repeat across process starts.
 */
[[nodiscard]] std::uint64_t randomId();

} // namespace galenalink

#endif
