#ifndef GALENALINK_JOB_LEASE_HPP
#define GALENALINK_JOB_LEASE_HPP

#include "galenalink/core/time.hpp"
#include <algorithm>

namespace galenalink::job {

/**
 * @brief Lease of one incarnation of a backend server, measured on the backend
 * server's clock, which may run up to 2% slower than the local clock.
 */
class lease {
public:
  /** @brief Records the backend server's clock reading from a response.
   * @param ReceivedAt When the response arrived. The clock has advanced beyond
   * the reading by then. */
  void recordClock(const std::int64_t ClockMs,
                   const time_point ReceivedAt) noexcept {
    if (!HasClock || ReceivedAt >= SampledAt) {
      ClockAtSampleMs = ClockMs;
      SampledAt = ReceivedAt;
    }
    HasClock = true;
  }

  [[nodiscard]] bool hasClock() const noexcept { return HasClock; }

  /** @brief Extends the lease to the given length from now. Call it just before
   * sending the request that carries the lease.
   * @return End of the lease on the backend server's clock, ms. */
  [[nodiscard]] std::int64_t extend(const time_point Now,
                                    const duration Length) noexcept {
    const auto End =
        ClockAtSampleMs + wholeMs(Now - SampledAt) + wholeMs(Length);
    GrantedMs = std::max(GrantedMs, End);
    return GrantedMs;
  }

  /** @return Local time by which the backend server has begun to kill all runs
   * under the lease; `NoDeadline`, which is in the past, if no lease was
   * granted. */
  [[nodiscard]] time_point expiry() const noexcept {
    if (!HasClock || GrantedMs == 0)
      return NoDeadline;
    const auto RemainingMs = static_cast<double>(GrantedMs - ClockAtSampleMs);
    return SampledAt + toDuration(RemainingMs * MaxClockStretch) + ExpiryMargin;
  }

private:
  /** Local time per unit of time on the slowest permitted clock. */
  static constexpr double MaxClockStretch = 1.0 / 0.98;
  /** Allows for late timers and for rounding to whole milliseconds. */
  static constexpr duration ExpiryMargin = std::chrono::milliseconds{100};

  [[nodiscard]] static duration toDuration(const double Ms) noexcept {
    return duration{static_cast<std::int64_t>(Ms * 1000)};
  }

  bool HasClock{false};
  std::int64_t ClockAtSampleMs{0};
  time_point SampledAt;
  std::int64_t GrantedMs{0};
};

} // namespace galenalink::job

#endif
