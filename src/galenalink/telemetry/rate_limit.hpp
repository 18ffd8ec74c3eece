#ifndef GALENALINK_TELEMETRY_RATE_LIMIT_HPP
#define GALENALINK_TELEMETRY_RATE_LIMIT_HPP

#include "galenalink/core/time.hpp"
#include <cstdint>
#include <optional>
#include <utility>

namespace galenalink::telemetry {

/** @brief Lets one line of a repeated fault through in each interval. */
class rate_limit {
public:
  explicit constexpr rate_limit(const duration Interval) noexcept
      : Step{Interval} {}

  /**
   * @brief Asks to write a line now.
   * @return Number of lines dropped since the last one, or nothing if this
   * line is to be dropped.
   */
  [[nodiscard]] std::optional<std::uint64_t>
  admit(const time_point Now) noexcept {
    if (Now < NextDeadline) {
      ++Dropped;
      return std::nullopt;
    }
    NextDeadline = Now + Step;
    return std::exchange(Dropped, 0);
  }

private:
  duration Step;
  time_point NextDeadline{NoDeadline};
  std::uint64_t Dropped{0};
};

} // namespace galenalink::telemetry

#endif
