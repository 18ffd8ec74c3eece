#ifndef GALENALINK_CORE_FWD_HPP
#define GALENALINK_CORE_FWD_HPP

#include <cstdint>

namespace galenalink {

struct boot_clock;
struct attempt_id;
struct error;

/** @brief Position of a record in the platform's log. */
using log_offset = std::uint64_t;

/** @brief Milliseconds since the Unix epoch, as written into log records. */
using wall_ms = std::int64_t;

/** @brief Identifies one start of an entry node; random, never reused. */
enum class node_id : std::uint64_t {};

enum class outcome : std::uint8_t;
enum class refusal : std::uint8_t;
enum class errc : std::uint8_t;

} // namespace galenalink

#endif
