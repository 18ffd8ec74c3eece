#ifndef GALENALINK_PLAN_VIEW_HPP
#define GALENALINK_PLAN_VIEW_HPP

#include "galenalink/core/fwd.hpp"
#include "galenalink/plan/fwd.hpp"
#include <optional>
#include <vector>

namespace galenalink::plan {

enum class vm_state : std::uint8_t { Up, Down, Leaving, Unknown };

enum class move_phase : std::uint8_t { None, Releasing, Drained };

enum class maintenance : std::uint8_t { None, Permitted, Rebooting, Stuck };

/** @brief Planner input for one VM; its index in the table identifies it. */
struct vm_view {
  customer_index Owner{0};
  pool_index Pool{0};
  data_centre_index DataCentre{0};
  /** Unique across data centres. */
  rack_index Rack{0};
  std::uint64_t Epoch{0};
  vm_state State{vm_state::Up};
  /** Time of the last change of `State`. */
  wall_ms StateSinceMs{0};
  move_phase Motion{move_phase::None};
  /** Target pool of the move; valid while `Motion` is not `None`. */
  pool_index To{0};
  /** Time at which the last move to the current pool completed. */
  wall_ms PoolSinceMs{0};
  maintenance Maintenance{maintenance::None};
  wall_ms MaintainedMs{0};
  /** Deadline for long-running work on the VM to end; 0 if none runs. */
  wall_ms HoldUntilMs{0};
  std::uint32_t BusySlots{0};

  /** @brief Whether the VM counts towards the budget of its pool. */
  [[nodiscard]] bool isUp() const noexcept {
    return State == vm_state::Up && Motion == move_phase::None &&
           Maintenance == maintenance::None;
  }
};

/** @brief Hours of the day (UTC) in which maintenance may start. */
struct window {
  std::uint32_t FromHour{0};
  /** Exclusive; at most `FromHour` if the window spans midnight. */
  std::uint32_t ToHour{24};
};

/** @brief Planner input for one pool; its index in the table identifies it. */
struct pool_view {
  customer_index Customer{0};
  /** Availability budget: own VMs that must stay up; 0 if there is none. */
  std::uint32_t MinUp{0};
  bool Spare{false};
  /** Own VMs that operators assigned; moves never leave the pool with fewer. */
  std::uint32_t InitialVms{0};
  /** Maximum time between two maintenances of a VM; 0 if there are none. */
  wall_ms PeriodMs{0};
  /** A VM becomes due this long before its period ends. */
  wall_ms LeadMs{0};
  /** Empty: maintenance may start at any hour. */
  std::vector<window> Windows;
  /** Start of the wave in progress, from the previous plan. */
  std::optional<wall_ms> WaveSinceMs;
};

/** @brief Whether a VM is up and due for maintenance. */
[[nodiscard]] inline bool isDue(const vm_view &Vm, const pool_view &Pool,
                                const wall_ms Now) noexcept {
  return Pool.PeriodMs > 0 && Vm.isUp() &&
         Vm.MaintainedMs + Pool.PeriodMs - Pool.LeadMs <= Now;
}

} // namespace galenalink::plan

#endif
