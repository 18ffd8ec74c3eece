#ifndef GALENALINK_JOB_PACING_HPP
#define GALENALINK_JOB_PACING_HPP

#include <algorithm>
#include <cstdint>

namespace galenalink::job {

struct leader;

/**
 * @brief Answers to tasks that fill and disturb tasks that serve: their share
 * is cut before the serving tasks pass their bound, and given back slowly.
 * @param Pace Present share of the tasks that fill, percent.
 * @param TailRatio Worst tail of a serving task beside them against its bound.
 * @return The next share, percent.
 */
[[nodiscard]] constexpr std::uint32_t
computePace(const std::uint32_t Pace, const double TailRatio) noexcept {
  /** From here on the share is halved, or quartered when the bound is passed.
   */
  constexpr double CutThreshold = 0.85;
  constexpr double RaiseThreshold = 0.6;
  /** A share below this is worth nothing. */
  constexpr std::uint32_t MinPacePercent = 10;
  constexpr std::uint32_t RaisePercent = 15;
  if (TailRatio < RaiseThreshold)
    return std::min(Pace + RaisePercent, 100U);
  if (TailRatio < CutThreshold)
    return Pace;
  const std::uint32_t Cut = Pace / (TailRatio >= 1 ? 4 : 2);
  return Cut < MinPacePercent ? 0 : Cut;
}

/** @brief Sets the shares of tasks that fill beside tasks that serve, by the
 * newest lists of their backend servers. */
void updatePaces(leader &Leader);

} // namespace galenalink::job

#endif
