#ifndef GALENALINK_JOB_MAINTENANCE_HPP
#define GALENALINK_JOB_MAINTENANCE_HPP

#include "galenalink/job/leader.hpp"

namespace galenalink::job {

/** @brief Input for the number of VMs of a wave that are out of service at the
 * same time. */
struct drain_schedule {
  /** VMs whose maintenance has not begun. */
  std::size_t Remaining{0};
  std::uint32_t MaxUnavailable{1};
  /** Until the end of the wave's window. */
  duration TimeRemaining{0};
  /** From the start of a VM's drain until it accepts work again. */
  duration CycleTime{0};
};

/** @return Number of VMs to drain or maintain at the same time, so that the
 * wave is spread over its window and still completes in time. */
[[nodiscard]] std::size_t drainLimit(const drain_schedule &Schedule);

/** @brief Takes over the published waves and sets the deadlines of new ones. */
void updateWaves(leader &Leader, const std::map<std::uint64_t, wave> &Waves);
/** @brief Drains the VMs of all waves, least busy first, orders their
 * maintenance, and cordons the backend servers concerned. Also retries VM
 * orders without a response. */
void advanceMaintenance(leader &Leader);

} // namespace galenalink::job

#endif
