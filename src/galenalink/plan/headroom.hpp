#ifndef GALENALINK_PLAN_HEADROOM_HPP
#define GALENALINK_PLAN_HEADROOM_HPP

#include "galenalink/plan/view.hpp"
#include <span>

namespace galenalink::plan {

/** @brief Number of VMs that planned actions may take out of a pool. */
struct headroom {
  std::uint32_t Vms{0};
  std::uint32_t Up{0};
  std::uint32_t LargestRack{0};
  /** VMs that may be taken out of service now. */
  std::uint32_t Removable{0};
  /** VMs that may be taken out of service at once when all VMs are up. */
  std::uint32_t MaxRemovable{0};
};

/**
 * @brief Computes the headroom of each pool.
 *
 * `Removable = Up - MinUp - LargestRack`: the reserve of `LargestRack` keeps
 * the budget intact if the rack with the most VMs of the pool fails while other
 * VMs are out of service. A pool without a budget needs no reserve; at most a
 * quarter of its VMs, or its largest rack if that is more, are out of service
 * at once, so that a fault in new software does not affect all of them.
 * Only the customer's own VMs count: borrowed VMs can be recalled at any time,
 * so no budget may depend on them.
 */
[[nodiscard]] std::vector<headroom>
computeHeadroom(std::span<const vm_view> Vms, std::span<const pool_view> Pools);

} // namespace galenalink::plan

#endif
