#ifndef GALENALINK_JOB_POOL_PLAN_HPP
#define GALENALINK_JOB_POOL_PLAN_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace galenalink::job {

/** @brief A pool as the planner sees it; room in thousandths of a core. */
struct pool_view {
  std::string Name;
  bool Standby{false};
  /** Room that accepted and arriving work needs. */
  double RequiredCapacity{0};
  /** Room of the VMs that are in the pool or on their way to it. */
  double Capacity{0};
  /** VMs below which it does not shrink. */
  std::size_t MinVms{0};
  /** VMs below which it lends none to other pools. */
  std::size_t MinVmsWhenLending{0};
  /** VMs in the pool or on their way to it. */
  std::size_t VmCount{0};
  /** It has had more room than it needs for long enough. */
  bool SustainedSurplus{false};
};

/** @brief A VM that is up and not ordered anywhere. */
struct vm_view {
  std::string Name;
  /** Index of its pool. */
  std::size_t Pool{0};
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
 * @brief Answers to demand that comes in turns: a pool whose work exceeds its
 * room gets VMs of the standby pool, then idle ones that other pools have
 * can lend; VMs that were idle for long go to the standby pool.
 */
[[nodiscard]] std::vector<planned_move> planMoves(std::vector<pool_view> Pools,
                                                  std::vector<vm_view> Vms);

/** @brief Whether a pool would keep enough room without a VM of this size. */
[[nodiscard]] bool canSpareVm(const pool_view &Pool, double VmCapacity);

} // namespace galenalink::job

#endif
