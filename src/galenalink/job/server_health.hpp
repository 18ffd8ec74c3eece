#ifndef GALENALINK_JOB_SERVER_HEALTH_HPP
#define GALENALINK_JOB_SERVER_HEALTH_HPP

#include "galenalink/core/time.hpp"
#include <algorithm>

namespace galenalink::job {

/**
 * @brief Detects backend servers that fail, refuse or delay work, and
 * quarantines them for a growing time. It relies on the outcome of runs and
 * orders, not on the health checks of the backend server.
 */
class server_health {
public:
  /** @param FirstFailureOfTask The task has not failed before. Repeated
   * failures of one task point to the job and are not counted. */
  void recordFailure(const time_point Now,
                     const bool FirstFailureOfTask) noexcept {
    if (FirstFailureOfTask && ++Failures >= FailureThreshold)
      quarantine(Now);
  }

  /** @param Ratio Actual duration of a run divided by the expected one. */
  void recordCompletion(const double Ratio) noexcept {
    Failures = 0;
    Quarantine = FirstQuarantine;
    Slowness += SlownessWeight * (std::clamp(Ratio, 0.2, 20.0) - Slowness);
  }

  /** @brief Quarantines a backend server that refused an order as unhealthy or
   * has a stalled run. */
  void recordFault(const time_point Now) noexcept { quarantine(Now); }

  void recordResponse() noexcept {
    ++Responses;
    decayCounts();
  }
  /** @brief Records an order without a response. Occasional losses can come
   * from the network; a backend server that hardly responds is quarantined. */
  void recordTimeout(const time_point Now) noexcept {
    ++Timeouts;
    decayCounts();
    if (Timeouts >= TimeoutThreshold &&
        Responses * MinTimeoutsPerResponse < Timeouts) {
      quarantine(Now);
      Responses = 0;
      Timeouts = 0;
    }
  }

  [[nodiscard]] bool isAvailable(const time_point Now) const noexcept {
    return Now >= QuarantinedUntil;
  }
  /** @return Smoothed ratio of actual to expected duration of its runs. */
  [[nodiscard]] double slowness() const noexcept { return Slowness; }

private:
  static constexpr std::uint32_t FailureThreshold = 3;
  static constexpr duration FirstQuarantine = std::chrono::milliseconds{1000};
  static constexpr duration MaxQuarantine = std::chrono::milliseconds{8000};
  static constexpr double SlownessWeight = 0.25;
  static constexpr std::uint32_t TimeoutThreshold = 6;
  static constexpr std::uint32_t MinTimeoutsPerResponse = 10;
  /** Number of orders after which both counts are halved. */
  static constexpr std::uint32_t OrderWindow = 32;

  void decayCounts() noexcept {
    if (Responses + Timeouts < OrderWindow)
      return;
    Responses /= 2;
    Timeouts /= 2;
  }

  void quarantine(const time_point Now) noexcept {
    QuarantinedUntil = Now + Quarantine;
    Quarantine = std::min(Quarantine * 2, MaxQuarantine);
    // A single failure after the quarantine triggers the next one.
    Failures = FailureThreshold - 1;
  }

  std::uint32_t Failures{0};
  std::uint32_t Responses{0};
  std::uint32_t Timeouts{0};
  duration Quarantine{FirstQuarantine};
  time_point QuarantinedUntil;
  double Slowness{1.0};
};

} // namespace galenalink::job

#endif
