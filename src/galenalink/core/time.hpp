#ifndef GALENALINK_CORE_TIME_HPP
#define GALENALINK_CORE_TIME_HPP

#include "galenalink/core/fwd.hpp"
#include <chrono>

namespace galenalink {

/**
 * @brief Monotonic clock that also advances while the VM is suspended
 * (CLOCK_BOOTTIME).
 */
struct boot_clock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::duration<rep, period>;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;

  [[nodiscard]] static time_point now() noexcept;
};

using duration = boot_clock::duration;
using time_point = boot_clock::time_point;

/** @brief A deadline that has always passed. */
inline constexpr time_point NoDeadline{duration::zero()};

/** @brief Whole milliseconds of a duration. */
[[nodiscard]] constexpr std::int64_t wholeMs(const duration Value) noexcept {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
}

/** @brief Current wall-clock time in milliseconds since the Unix epoch. */
[[nodiscard]] wall_ms wallNow() noexcept;

} // namespace galenalink

#endif
