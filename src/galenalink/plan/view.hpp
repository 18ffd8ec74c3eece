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

/** @brief A VM as the planner sees it; identified by its position. */
struct vm_view {
  customer_index Owner{0};
  pool_index Pool{0};
  data_centre_index Place{0};
  /** Unique over all places. */
  rack_index Rack{0};
  std::uint64_t Epoch{0};
  vm_state State{vm_state::Up};
  /** When `State` took its value. */
  wall_ms StateSinceMs{0};
  move_phase Motion{move_phase::None};
  /** Pool to which the VM moves; valid while it is in motion. */
  pool_index To{0};
  /** When the last move to its pool ended. */
  wall_ms PoolSinceMs{0};
  maintenance Maintenance{maintenance::None};
  wall_ms MaintainedMs{0};
  /** Deadline until which long work holds the VM; 0 if none runs. */
  wall_ms HoldUntilMs{0};
  std::uint32_t BusySlots{0};

  /** @brief Whether the VM counts as up for the budget of its pool. */
  [[nodiscard]] bool isUp() const noexcept {
    return State == vm_state::Up && Motion == move_phase::None &&
           Maintenance == maintenance::None;
  }
};

/** @brief Hours of the day (UTC) in which maintenance may start. */
struct window {
  std::uint32_t FromHour{0};
  /** Exclusive; not after `FromHour` if the window spans midnight. */
  std::uint32_t ToHour{24};
};

/** @brief A pool as the planner sees it; identified by its position. */
struct pool_view {
  customer_index Member{0};
  /** Availability budget. */
  std::uint32_t MinUp{0};
  bool Spare{false};
  /** Own VMs that operators gave the pool; moves never leave it with fewer. */
  std::uint32_t InitialVms{0};
  /** Every VM is maintained once in this time. */
  wall_ms PeriodMs{0};
  /** A VM is due this long before its period ends. */
  wall_ms LeadMs{0};
  /** Empty: maintenance may start at any hour. */
  std::vector<window> Windows;
  /** Start of the wave in progress, from the previous plan. */
  std::optional<wall_ms> WaveSinceMs;
};

/** @brief Whether a VM that is up waits for maintenance. */
[[nodiscard]] inline bool isDue(const vm_view &Vm, const pool_view &Pool,
                                const wall_ms Now) noexcept {
  return Pool.PeriodMs > 0 && Vm.isUp() &&
         Vm.MaintainedMs + Pool.PeriodMs - Pool.LeadMs <= Now;
}

} // namespace galenalink::plan

#endif
