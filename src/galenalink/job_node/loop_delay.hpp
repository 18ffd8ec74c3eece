#ifndef GALENALINK_JOB_NODE_LOOP_DELAY_HPP
#define GALENALINK_JOB_NODE_LOOP_DELAY_HPP

#include "galenalink/core/time.hpp"
#include <algorithm>
#include <utility>

namespace galenalink::job_node {

/** @brief Measures by how much the event loop delays periodic work. */
class loop_delay {
public:
  /** @param Interval Interval of the periodic work.
   * @param Window Length of the spans over which the maximum is taken. */
  loop_delay(const duration Interval, const duration Window) noexcept
      : Interval{Interval}, Window{Window} {}

  /** @brief Records that the periodic work runs.
   * @return Whether a window has ended with this call. */
  bool record(const time_point Now) noexcept {
    if (LastAt == NoDeadline)
      WindowEnd = Now + Window;
    else
      Latest = std::max<duration>(Now - LastAt - Interval, duration{0});
    Current = std::max(Current, Latest);
    LastAt = Now;
    if (Now < WindowEnd)
      return false;
    Last = std::exchange(Current, duration{0});
    WindowEnd = Now + Window;
    return true;
  }
  /** @return Delay of the last call. */
  [[nodiscard]] duration latest() const noexcept { return Latest; }
  /** @return Longest delay in the last complete window. */
  [[nodiscard]] duration longest() const noexcept { return Last; }

private:
  duration Interval;
  duration Window;
  duration Latest{0};
  duration Current{0};
  duration Last{0};
  time_point LastAt{NoDeadline};
  time_point WindowEnd{NoDeadline};
};

} // namespace galenalink::job_node

#endif
