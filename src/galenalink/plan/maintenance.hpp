#ifndef GALENALINK_PLAN_MAINTENANCE_HPP
#define GALENALINK_PLAN_MAINTENANCE_HPP

#include "galenalink/core/enum_names.hpp"
#include "galenalink/plan/view.hpp"
#include <span>

namespace galenalink::plan {

/** @brief A VM that may be drained and rebooted now. */
struct permit {
  vm_index Vm{0};
  std::uint64_t Epoch{0};
};

/** @brief Why a pool got the permits that it got. */
enum class wave_status : std::uint8_t {
  NothingDue,
  Permitted,
  OutsideWindow,
  FailureInWave,
  /** As many VMs are out as the slowest pool of the member allows. */
  Paced,
  NoHeadroom,
};

inline constexpr enum_names<wave_status, 6> WaveStatusNames{{
    {wave_status::NothingDue, "nothing-due"},
    {wave_status::Permitted, "permitted"},
    {wave_status::OutsideWindow, "outside-window"},
    {wave_status::FailureInWave, "failure-in-wave"},
    {wave_status::Paced, "paced"},
    {wave_status::NoHeadroom, "no-room"},
}};

/** @brief State of maintenance in one pool. */
struct pool_wave {
  wave_status Status{wave_status::NothingDue};
  /** VMs that are due and wait for a permit. */
  std::uint32_t Due{0};
  /** To be passed as `pool_view::WaveSinceMs` next time. */
  std::optional<wall_ms> WaveSinceMs;
};

struct maintenance_plan {
  /** In the order in which they are to be given. */
  std::vector<permit> Permits;
  /** VMs that did not come back and need an operator. */
  std::vector<vm_index> Stuck;
  /** VMs that failed during the wave of their pool. */
  std::vector<vm_index> Failed;
  /** One for each pool. */
  std::vector<pool_wave> Pools;
};

/**
 * @brief Decides which VMs get a maintenance permit now.
 *
 * Permits never exceed a pool's headroom at its home size, nor what it needs to
 * be ready together with the slowest pool of its member. A wave finishes one
 * place and one rack before the next where headroom allows; places and racks
 * are taken in the order of their most overdue VM, and VMs past their period go
 * first, so no VM waits longer than one wave. VMs with long work come last
 * until their hold deadline. A pool gets no permit while a VM is down or
 * unknown that failed after its wave began. If VMs are in maintenance and the
 * start of the wave is not known, every failure counts as one of this wave.
 *
 * Borrowed VMs are left to their owner, because an outage would keep it from
 * recalling them; one that is past its period is maintained where it is, one
 * at a time.
 *
 * @param Now Time of the log.
 */
[[nodiscard]] maintenance_plan planMaintenance(std::span<const vm_view> Vms,
                                               std::span<const pool_view> Pools,
                                               wall_ms Now);

/**
 * @brief Shortest roll-out that the budgets and windows allow.
 *
 * Counts the VMs that are due at the start, takes all VMs to be up and every
 * VM to be out for the same time. A pool then needs `ceil(due / room)` rounds;
 * pools are independent.
 *
 * @param DowntimeMs Time that one VM is out.
 * @return Milliseconds from `Start` to the end of the last round; nothing if a
 * pool with due VMs has no room even with all VMs up.
 */
[[nodiscard]] std::optional<wall_ms>
rolloutLowerBound(std::span<const vm_view> Vms,
                  std::span<const pool_view> Pools, wall_ms Start,
                  wall_ms DowntimeMs);

} // namespace galenalink::plan

#endif
