#ifndef GALENALINK_JOB_MAINTENANCE_HPP
#define GALENALINK_JOB_MAINTENANCE_HPP

#include "galenalink/job/leader.hpp"

namespace galenalink::job {

/** @brief What decides how many VMs of a wave are taken out of use at once. */
struct wave_pace {
  std::size_t Left{0};
  std::uint32_t MaxUnavailable{1};
  duration TimeLeft{0};
  /** From the last new work on a VM until it takes work again. */
  duration Cycle{0};
};

/** @return VMs that are drained or maintained at the same time, so that the
 * wave is spread over its window and still ends in time. */
[[nodiscard]] std::size_t concurrency(const wave_pace &Pace);

void updateWaves(leader &Leader, const std::map<std::uint64_t, wave> &Waves);
/** @brief Drains VMs of waves, idle ones first, and orders their
 * maintenance. */
void maintain(leader &Leader);

} // namespace galenalink::job

#endif
