#ifndef GALENALINK_PLAN_HEADROOM_HPP
#define GALENALINK_PLAN_HEADROOM_HPP

#include "galenalink/plan/view.hpp"
#include <span>

namespace galenalink::plan {

/** @brief VMs that planned actions may take from a pool. */
struct headroom {
  std::uint32_t Vms{0};
  std::uint32_t Up{0};
  std::uint32_t LargestRack{0};
  /** VMs that may be taken now. */
  std::uint32_t Removable{0};
  /** VMs that the budget allows to be taken at once when all VMs are up. */
  std::uint32_t MaxRemovable{0};
};

/**
 * @brief Headroom of each pool.
 *
 * `Room = Up - MinUp - LargestRack`: the reserve keeps the budget when the
 * rack with the most VMs of the pool is lost while VMs are out. A pool without
 * a budget needs no reserve; a quarter of it, or its largest rack, is taken at
 * once, so that a fault in the new software does not take all of its VMs.
 * Only the member's own VMs count: borrowed VMs can be recalled at any time,
 * so no budget may rest on them.
 */
[[nodiscard]] std::vector<headroom>
computeHeadroom(std::span<const vm_view> Vms, std::span<const pool_view> Pools);

} // namespace galenalink::plan

#endif
