#ifndef GALENALINK_JOB_LEASE_HPP
#define GALENALINK_JOB_LEASE_HPP

#include "galenalink/core/time.hpp"
#include <algorithm>

namespace galenalink::job {

/**
 * @brief Lease of one incarnation of a backend server, counted on its own
 * clock. That clock may be up to 2% slow against ours.
 */
class lease {
public:
  /** @brief Notes what the backend server's clock showed in an answer.
   * @param ReceivedAt When the answer arrived; the clock shows more by then. */
  void recordClock(const std::int64_t ClockMs,
                   const time_point ReceivedAt) noexcept {
    if (!HasClock || ReceivedAt >= SampledAt) {
      ClockAtSampleMs = ClockMs;
      SampledAt = ReceivedAt;
    }
    HasClock = true;
  }

  [[nodiscard]] bool hasClock() const noexcept { return HasClock; }

  /** @brief End of a lease of the given length from now, on its clock, ms.
   * To be called just before an order that carries it. */
  [[nodiscard]] std::int64_t extend(const time_point Now,
                                    const duration Length) noexcept {
    const auto End = ClockAtSampleMs + toMs(Now - SampledAt) + toMs(Length);
    GrantedMs = std::max(GrantedMs, End);
    return GrantedMs;
  }

  /** @return Time by which everything under the lease has ended; the past if
   * no lease was given. */
  [[nodiscard]] time_point expiry() const noexcept {
    if (!HasClock || GrantedMs == 0)
      return NoDeadline;
    const auto RemainingMs = static_cast<double>(GrantedMs - ClockAtSampleMs);
    return SampledAt + toDuration(RemainingMs * MaxClockStretch) + ExpiryMargin;
  }

private:
  /** Real time against the time on the slowest clock that is allowed. */
  static constexpr double MaxClockStretch = 1.0 / 0.98;
  /** For the kill itself and rounding to whole milliseconds. */
  static constexpr duration ExpiryMargin = std::chrono::milliseconds{100};

  [[nodiscard]] static std::int64_t toMs(const duration Length) noexcept {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Length)
        .count();
  }
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
