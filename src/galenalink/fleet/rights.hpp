#ifndef GALENALINK_FLEET_RIGHTS_HPP
#define GALENALINK_FLEET_RIGHTS_HPP

#include "galenalink/core/enum_names.hpp"
#include "galenalink/fleet/authority.hpp"
#include "galenalink/fleet/barrier.hpp"
#include "galenalink/fleet/shard_map.hpp"

namespace galenalink::fleet {

/** @brief Whether a node may act as the home of a shard. */
enum class home_right : std::uint8_t {
  Held,
  NotHome,
  NoAuthority,
  /** Former homes may still act. */
  BarrierPending,
};

inline constexpr enum_names<home_right, 4> HomeRightNames{{
    {home_right::Held, "held"},
    {home_right::NotHome, "not-home"},
    {home_right::NoAuthority, "no-authority"},
    {home_right::BarrierPending, "barrier-pending"},
}};

/** @brief What one node knows; all parts follow the same state. */
struct node_view {
  node_id Self{};
  const state &State;
  const shard_map &Shards;
  const authority &Authority;
  barrier &Barrier;
};

/** @brief Right of the node to act as home of a shard now. */
[[nodiscard]] home_right homeRight(const node_view &View, pool_index Pool,
                                   std::uint32_t Shard, time_point Now);

/**
 * @brief Whether the node may start work on a VM now. Waits for the barrier
 * of vm_add, because a home of an earlier life of the name may still act.
 */
[[nodiscard]] bool mayPlace(const node_view &View, vm_index Vm, time_point Now);

/** @brief Whether move_drained may be appended if nothing runs on the VM. */
[[nodiscard]] bool mayReportDrained(const node_view &View, vm_index Vm,
                                    time_point Now);

/** @brief Whether move_take may be appended for a VM. */
[[nodiscard]] bool mayTake(const node_view &View, vm_index Vm, time_point Now);

/**
 * @brief Whether the platform may be asked to reboot a VM: no node can place
 * on it any more, by the barrier of maintenance_reboot.
 */
[[nodiscard]] bool mayReboot(const node_view &View, vm_index Vm,
                             time_point Now);

} // namespace galenalink::fleet

#endif
