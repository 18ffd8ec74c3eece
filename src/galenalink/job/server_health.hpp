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
  /** @param FirstOfTask The task has not failed elsewhere: a job that can
   * never be done is no evidence against a backend server. */
  void failed(const time_point Now, const bool FirstOfTask) noexcept {
    if (FirstOfTask && ++Failures >= SuspectFailures)
      quarantine(Now);
  }

  /** @param Ratio Real duration of a run against the expected one. */
  void done(const double Ratio) noexcept {
    Failures = 0;
    Quarantine = FirstQuarantine;
    Slowness += SlownessWeight * (std::clamp(Ratio, 0.2, 20.0) - Slowness);
  }

  /** @brief It refused an order, or a run there stands still. */
  void refused(const time_point Now) noexcept { quarantine(Now); }

  void answered() noexcept {
    ++Answered;
    forgetOld();
  }
  /** @brief An order had no answer. Where every order is lost at times, that is
   * no evidence against one backend server; one that answers none is avoided.
   */
  void unanswered(const time_point Now) noexcept {
    ++Unanswered;
    forgetOld();
    if (Unanswered >= SuspectUnanswered &&
        Answered * UnansweredRatio < Unanswered) {
      quarantine(Now);
      Answered = 0;
      Unanswered = 0;
    }
  }

  [[nodiscard]] bool usable(const time_point Now) const noexcept {
    return Now >= AvoidUntil;
  }
  /** @return Expected duration of a run there against a sound one. */
  [[nodiscard]] double slowness() const noexcept { return Slowness; }

private:
  static constexpr std::uint32_t SuspectFailures = 3;
  static constexpr duration FirstQuarantine = std::chrono::milliseconds{1000};
  static constexpr duration LongestQuarantine = std::chrono::milliseconds{8000};
  static constexpr double SlownessWeight = 0.25;
  static constexpr std::uint32_t SuspectUnanswered = 6;
  static constexpr std::uint32_t UnansweredRatio = 10;
  /** Orders after which older ones count half. */
  static constexpr std::uint32_t OrdersSeen = 32;

  void forgetOld() noexcept {
    if (Answered + Unanswered < OrdersSeen)
      return;
    Answered /= 2;
    Unanswered /= 2;
  }

  void quarantine(const time_point Now) noexcept {
    AvoidUntil = Now + Quarantine;
    Quarantine = std::min(Quarantine * 2, LongestQuarantine);
    // One more failure after the quarantine is enough to avoid it again.
    Failures = SuspectFailures - 1;
  }

  std::uint32_t Failures{0};
  std::uint32_t Answered{0};
  std::uint32_t Unanswered{0};
  duration Quarantine{FirstQuarantine};
  time_point AvoidUntil;
  double Slowness{1.0};
};

} // namespace galenalink::job

#endif
