#ifndef GALENALINK_JOB_POOL_PLAN_HPP
#define GALENALINK_JOB_POOL_PLAN_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace galenalink::job {

/** @brief A pool as input of the planner. Capacities are in thousandths of a
 * core. */
struct pool_view {
  std::string Name;
  bool Standby{false};
  /** Capacity that accepted, arriving and forecast work needs. */
  double RequiredCapacity{0};
  /** Capacity of the VMs that are in the pool or moving to it. */
  double Capacity{0};
  /** Lower limit when idle VMs are returned to the standby pool. */
  std::size_t MinVms{0};
  /** Lower limit when idle VMs are lent to other pools. */
  std::size_t MinVmsWhenLending{0};
  /** VMs that are in the pool or moving to it. */
  std::size_t VmCount{0};
  /** Has had surplus capacity for long enough to return VMs. */
  bool SustainedSurplus{false};
};

/** @brief A VM that is up and has no pending order. */
struct vm_view {
  std::string Name;
  /** Index of its pool in the list of pools. */
  std::size_t Pool{0};
  /** Thousandths of a core. */
  double Capacity{0};
  /** Nothing runs on it. */
  bool Idle{false};
};

struct planned_move {
  std::string Vm;
  std::string To;

  [[nodiscard]] bool operator==(const planned_move &) const = default;
};

/**
 * @brief Plans moves of VMs between pools whose demand peaks at different
 * times. A pool that needs more than its capacity gets VMs of the standby pool
 * first, then idle VMs that other pools can lend. Idle VMs of pools with a
 * sustained surplus return to the standby pool.
 */
[[nodiscard]] std::vector<planned_move> planMoves(std::vector<pool_view> Pools,
                                                  std::vector<vm_view> Vms);

/** @brief Whether a pool keeps enough capacity without a VM of this size.
 * @param VmCapacity Thousandths of a core. */
[[nodiscard]] bool canSpareVm(const pool_view &Pool, double VmCapacity);

} // namespace galenalink::job

#endif
