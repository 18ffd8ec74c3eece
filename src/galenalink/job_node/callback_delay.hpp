#ifndef GALENALINK_JOB_NODE_CALLBACK_DELAY_HPP
#define GALENALINK_JOB_NODE_CALLBACK_DELAY_HPP

#include "galenalink/core/time.hpp"
#include <algorithm>
#include <utility>

namespace galenalink::job_node {

/**
 * @brief Measures for how long callbacks wait in the event loop. Timers do not
 * wait behind them, so a control loop on time does not show that responses are
 * handled late. The owner posts a probe whenever `begin` asks for it.
 */
class callback_delay {
public:
  /** @return Whether a probe is to be posted now; false while one waits. */
  [[nodiscard]] bool begin(const time_point Now) noexcept {
    if (ProbePostedAt != NoDeadline)
      return false;
    ProbePostedAt = Now;
    return true;
  }
  /** @brief Records that the probe is called. */
  void end(const time_point Now) noexcept {
    Latest = Now - std::exchange(ProbePostedAt, NoDeadline);
  }
  /** @return Delay of the last probe, or of the one that waits if that is
   * longer. */
  [[nodiscard]] duration current(const time_point Now) const noexcept {
    return ProbePostedAt == NoDeadline
               ? Latest
               : std::max<duration>(Latest, Now - ProbePostedAt);
  }

private:
  time_point ProbePostedAt{NoDeadline};
  duration Latest{0};
};

} // namespace galenalink::job_node

#endif
