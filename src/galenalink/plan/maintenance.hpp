#ifndef GALENALINK_PLAN_MAINTENANCE_HPP
#define GALENALINK_PLAN_MAINTENANCE_HPP

#include "galenalink/core/enum_names.hpp"
#include "galenalink/plan/view.hpp"
#include <span>

namespace galenalink::plan {

/** @brief Permission to drain and reboot a VM now. */
struct permit {
  vm_index Vm{0};
  std::uint64_t Epoch{0};
};

/** @brief Reason for the number of permits that a pool got. */
enum class wave_status : std::uint8_t {
  NothingDue,
  Permitted,
  OutsideWindow,
  FailureInWave,
  /** Limited to the pace of the customer's slowest pool. */
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

/** @brief State of the maintenance wave in one pool. */
struct pool_wave {
  wave_status Status{wave_status::NothingDue};
  /** Own VMs that are due and wait for a permit. */
  std::uint32_t Due{0};
  /** Pass as `pool_view::WaveSinceMs` in the next round. */
  std::optional<wall_ms> WaveSinceMs;
};

struct maintenance_plan {
  /** In the order in which to issue them. */
  std::vector<permit> Permits;
  /** VMs that did not return from maintenance and need an operator. */
  std::vector<vm_index> Stuck;
  /** VMs that failed during the wave of their pool. */
  std::vector<vm_index> Failed;
  /** One entry for each pool. */
  std::vector<pool_wave> Pools;
};

/**
 * @brief Decides which VMs get a maintenance permit now.
 *
 * Permits for own VMs never exceed the headroom of a pool at its initial size,
 * nor the number needed to finish together with the slowest pool of its
 * customer. A wave completes one data centre and one rack before the next where
 * headroom allows; data centres and racks are processed in the order of their
 * most overdue VM, and VMs past their period go first, so no VM waits longer
 * than one wave. VMs with long-running work come last until `HoldUntilMs`. A
 * pool gets no permit while a VM that failed after the start of the wave is
 * down or in an unknown state. If VMs are in maintenance and the start of the
 * wave is not known, every failure counts as a failure in this wave.
 *
 * Borrowed VMs are left to their owner, because the owner cannot recall a VM
 * during maintenance. Borrowed VMs past their period are maintained in the
 * borrowing pool, one at a time.
 *
 * @param Now Current time according to the log.
 */
[[nodiscard]] maintenance_plan planMaintenance(std::span<const vm_view> Vms,
                                               std::span<const pool_view> Pools,
                                               wall_ms Now);

/**
 * @brief Lower bound of the roll-out time under the budgets and windows.
 *
 * Counts the own VMs that are due at `Start` and assumes that all VMs are up
 * and that each is out of service for the same time. A pool then needs
 * `ceil(due / MaxRemovable)` rounds; pools are independent.
 *
 * @param DowntimeMs Time for which one VM is out of service.
 * @return Milliseconds from `Start` to the end of the last round; empty if a
 * pool with due VMs has no headroom even with all VMs up.
 */
[[nodiscard]] std::optional<wall_ms>
rolloutLowerBound(std::span<const vm_view> Vms,
                  std::span<const pool_view> Pools, wall_ms Start,
                  wall_ms DowntimeMs);

} // namespace galenalink::plan

#endif
