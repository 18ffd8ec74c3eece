#ifndef GALENALINK_JOB_SERVER_HEALTH_HPP
#define GALENALINK_JOB_SERVER_HEALTH_HPP

#include "galenalink/core/time.hpp"
#include <algorithm>

namespace galenalink::job {

/**
 * @brief Tells backend servers that fail, refuse or delay what they are given
 * from sound ones, by the ends of runs and not by their health answers.
 */
class server_health {
public:
  /** @param FirstFailureOfTask The task has not failed elsewhere: a job that
   * can never be done is no evidence against a backend server. */
  void recordFailure(const time_point Now,
                     const bool FirstFailureOfTask) noexcept {
    if (FirstFailureOfTask && ++Failures >= FailureThreshold)
      quarantine(Now);
  }

  /** @param Ratio Real duration of a run against the expected one. */
  void recordCompletion(const double Ratio) noexcept {
    Failures = 0;
    Quarantine = FirstQuarantine;
    Slowness += SlownessWeight * (std::clamp(Ratio, 0.2, 20.0) - Slowness);
  }

  /** @brief It refused an order, or a run there stands still. */
  void recordFault(const time_point Now) noexcept { quarantine(Now); }

  void recordResponse() noexcept {
    ++Responses;
    decayCounts();
  }
  /** @brief An order had no answer. Where every order is lost at times, that is
   * no evidence against one backend server; one that answers none is avoided.
   */
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
  /** @return Expected duration of a run there against a sound one. */
  [[nodiscard]] double slowness() const noexcept { return Slowness; }

private:
  static constexpr std::uint32_t FailureThreshold = 3;
  static constexpr duration FirstQuarantine = std::chrono::milliseconds{1000};
  static constexpr duration MaxQuarantine = std::chrono::milliseconds{8000};
  static constexpr double SlownessWeight = 0.25;
  static constexpr std::uint32_t TimeoutThreshold = 6;
  static constexpr std::uint32_t MinTimeoutsPerResponse = 10;
  /** Orders after which older ones count half. */
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
    // One more failure after the quarantine is enough to avoid it again.
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
