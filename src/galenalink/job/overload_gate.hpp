#ifndef GALENALINK_JOB_OVERLOAD_GATE_HPP
#define GALENALINK_JOB_OVERLOAD_GATE_HPP

#include "galenalink/core/time.hpp"
#include <algorithm>
#include <cstdint>

namespace galenalink::job {

/** @brief What a leader knows about its own backlog. */
struct leader_backlog {
  /** Since when tasks that fit wait for the start window; `NoDeadline` if none
   * does. */
  time_point StartsHeldSince{NoDeadline};
  /** When the oldest reply that waits for the store was added; `NoDeadline` if
   * none waits. */
  time_point OldestReplyAt{NoDeadline};
  /** By how much the event loop delayed the control loop last, in a recent
   * span of time. */
  duration LoopDelay{0};
  /** For how long responses to the leader's calls wait in its event loop. */
  duration CallbackDelay{0};
  /** Accepted jobs of which no task has started. */
  std::size_t WaitingJobs{0};
};

/**
 * @brief Decides whether a leader takes new jobs.
 *
 * It guards against metastable overload: during a demand peak above what the
 * leader can decide, jobs that it accepts only lengthen the queue in front of
 * the heartbeats and run ends that it must handle, and repeated requests keep
 * it overloaded after the peak. New jobs are refused at once while the leader
 * has been behind for longer than a short burst takes.
 */
class overload_gate {
public:
  /** @return Whether a new job may be accepted. While starts are held, that
   * depends on the time until it would start, so that the leader is neither
   * idle nor far behind. */
  [[nodiscard]] bool accepts(const leader_backlog &Backlog,
                             const time_point Now) noexcept {
    const bool Held = exceeds(Backlog.StartsHeldSince, MaxStartsHeld, Now);
    return !(Held && drainMs(Backlog, Now) > MaxDrainMs) &&
           !exceeds(Backlog.OldestReplyAt, MaxReplyAge, Now) &&
           Backlog.LoopDelay <= MaxLoopDelay &&
           Backlog.CallbackDelay <= MaxCallbackDelay;
  }

  /** @brief Records that a job has started its first task. */
  void recordJobStart(const time_point Now) noexcept {
    advance(Now);
    ++Current;
  }
  /** @return Time in which the waiting jobs start at the measured rate, within
   * limits, ms. */
  [[nodiscard]] std::uint32_t retryAfterMs(const leader_backlog &Backlog,
                                           const time_point Now) noexcept {
    return static_cast<std::uint32_t>(
        std::clamp(drainMs(Backlog, Now), MinRetryMs, MaxRetryMs));
  }

private:
  /** Longer than the start of one large job takes at a busy leader. */
  static constexpr duration MaxStartsHeld = std::chrono::milliseconds{300};
  static constexpr double MaxDrainMs = 300;
  /** Later replies do not reach the nodes that forwarded the requests before
   * these repeat them. A slow store alone delays replies by up to 0.6 s. */
  static constexpr duration MaxReplyAge = std::chrono::milliseconds{900};
  static constexpr duration MaxLoopDelay = std::chrono::milliseconds{200};
  /** A task needs two responses in turn, that to its start and the heartbeat
   * with its end. */
  static constexpr duration MaxCallbackDelay = MaxReplyAge / 2;
  static constexpr duration Window = std::chrono::seconds{1};
  static constexpr double WindowSeconds = 1;
  static constexpr double MinRetryMs = 1000;
  static constexpr double MaxRetryMs = 4000;

  [[nodiscard]] double drainMs(const leader_backlog &Backlog,
                               const time_point Now) noexcept {
    advance(Now);
    const auto Started =
        std::max<std::uint64_t>(std::max(Current, Previous), 1);
    const double PerSecond = static_cast<double>(Started) / WindowSeconds;
    return static_cast<double>(Backlog.WaitingJobs) * 1000 / PerSecond;
  }
  [[nodiscard]] static bool exceeds(const time_point Since,
                                    const duration Limit,
                                    const time_point Now) noexcept {
    return Since != NoDeadline && Now >= Since + Limit;
  }
  void advance(const time_point Now) noexcept {
    if (Now < WindowEnd)
      return;
    Previous = Now < WindowEnd + Window ? Current : 0;
    Current = 0;
    WindowEnd = Now + Window;
  }

  std::uint64_t Current{0};
  std::uint64_t Previous{0};
  time_point WindowEnd{NoDeadline};
};

} // namespace galenalink::job

#endif
