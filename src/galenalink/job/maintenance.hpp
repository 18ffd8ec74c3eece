#ifndef GALENALINK_JOB_MAINTENANCE_HPP
#define GALENALINK_JOB_MAINTENANCE_HPP

#include "galenalink/job/leader.hpp"

namespace galenalink::job {

/** @brief What decides how many VMs of a wave are taken out of use at once. */
struct drain_pace {
  std::size_t Remaining{0};
  std::uint32_t MaxUnavailable{1};
  duration TimeRemaining{0};
  /** From the last new work on a VM until it takes work again. */
  duration CycleTime{0};
};

/** @return VMs that are drained or maintained at the same time, so that the
 * wave is spread over its window and still ends in time. */
[[nodiscard]] std::size_t drainLimit(const drain_pace &Pace);

void updateWaves(leader &Leader, const std::map<std::uint64_t, wave> &Waves);
/** @brief Drains VMs of waves, idle ones first, and orders their
 * maintenance. */
void advanceMaintenance(leader &Leader);

} // namespace galenalink::job

#endif
