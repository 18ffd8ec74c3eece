#ifndef GALENALINK_JOB_PACING_HPP
#define GALENALINK_JOB_PACING_HPP

#include <algorithm>
#include <cstdint>

namespace galenalink::job {

struct leader;

/**
 * @brief Computes the next pace of best-effort tasks that share a backend
 * server with latency-sensitive tasks. The pace is cut before the tail latency
 * exceeds its target, and raised again slowly.
 * @param Pace Current share of CPU time of the best-effort tasks, percent.
 * @param TailRatio Highest ratio of tail latency to its target among the
 * latency-sensitive tasks.
 * @return Next share of CPU time, percent.
 */
[[nodiscard]] constexpr std::uint32_t
computePace(const std::uint32_t Pace, const double TailRatio) noexcept {
  // From this ratio on the pace is halved, from 1 on it is quartered.
  constexpr double CutThreshold = 0.85;
  constexpr double RaiseThreshold = 0.6;
  // A lower pace yields no useful work, so the tasks are suspended.
  constexpr std::uint32_t MinPacePercent = 10;
  constexpr std::uint32_t RaisePercent = 15;
  if (TailRatio < RaiseThreshold)
    return std::min(Pace + RaisePercent, 100U);
  if (TailRatio < CutThreshold)
    return Pace;
  const std::uint32_t Cut = Pace / (TailRatio >= 1 ? 4 : 2);
  return Cut < MinPacePercent ? 0 : Cut;
}

/** @brief Adjusts the pace of best-effort tasks that run beside
 * latency-sensitive tasks, by the latest heartbeat of each backend server. */
void updatePaces(leader &Leader);

} // namespace galenalink::job

#endif
