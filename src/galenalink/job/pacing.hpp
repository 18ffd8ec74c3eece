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
 * @param TailShare Worst tail of a serving task beside them against its bound.
 * @return The next share, percent.
 */
[[nodiscard]] constexpr std::uint32_t
nextPace(const std::uint32_t Pace, const double TailShare) noexcept {
  /** From here on the share is halved, or quartered when the bound is passed.
   */
  constexpr double Near = 0.85;
  constexpr double Ample = 0.6;
  /** A share below this is worth nothing. */
  constexpr std::uint32_t Least = 10;
  constexpr std::uint32_t Raise = 15;
  if (TailShare < Ample)
    return std::min(Pace + Raise, 100U);
  if (TailShare < Near)
    return Pace;
  const std::uint32_t Cut = Pace / (TailShare >= 1 ? 4 : 2);
  return Cut < Least ? 0 : Cut;
}

/** @brief Sets the shares of tasks that fill beside tasks that serve, by the
 * newest lists of their backend servers. */
void paceFillers(leader &Leader);

} // namespace galenalink::job

#endif
