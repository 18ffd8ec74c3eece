#ifndef GALENALINK_BENCH_PLAN_MAINTENANCE_HPP
#define GALENALINK_BENCH_PLAN_MAINTENANCE_HPP

#include "galenalink/plan/headroom.hpp"
#include "galenalink/plan/maintenance.hpp"
#include <algorithm>
#include <random>

namespace galenalink::bench {

/** @brief Results of maintenance over several maintenance periods. */
struct maintenance_result {
  std::uint32_t Maintained{0};
  /** VMs maintained after their period although they neither failed nor had a
   * stuck reboot. */
  std::uint32_t Late{0};
  /** Reboots that stuck. */
  std::uint32_t Stuck{0};
  /** Longest time between two maintenances of a VM. */
  wall_ms LongestIntervalMs{0};
  /** Time during which planned maintenance kept a pool below its minimum of
   * serving VMs. */
  wall_ms BudgetBreachMs{0};
};

/**
 * @brief Simulates 200 days of maintenance without moves between pools.
 *
 * The fleet has 5 pools of 10 VMs and a maintenance window from 22:00 to 06:00.
 * Each day 1% of the VMs fail for an hour, each week a rack is lost for an
 * hour, and one reboot in 50 is stuck until an operator repairs the VM a day
 * later. VMs run long jobs of up to 6 hours at any time.
 */
inline maintenance_result simulateMaintenance(const std::uint64_t Seed) {
  constexpr wall_ms Minute = 60'000;
  constexpr wall_ms Hour = 60 * Minute;
  constexpr wall_ms Day = 24 * Hour;
  constexpr wall_ms StepMs = 10 * Minute;
  constexpr std::uint32_t VmCount = 50;
  std::mt19937_64 Random{Seed};
  std::vector<plan::pool_view> Pools(5);
  for (auto &Pool : Pools) {
    Pool.MinUp = 6;
    Pool.InitialVms = 10;
    Pool.PeriodMs = 49 * Day;
    Pool.LeadMs = 7 * Day;
    Pool.Windows = {{22, 6}};
  }
  std::vector<plan::vm_view> Vms(VmCount);
  std::vector<wall_ms> PhaseEndMs(VmCount);
  std::vector<wall_ms> FailedUntilMs(VmCount);
  std::vector<bool> HadFault(VmCount);
  for (std::uint32_t I = 0; I < VmCount; ++I) {
    Vms[I].Pool = I % 5;
    Vms[I].Rack = I / 4;
    Vms[I].DataCentre = Vms[I].Rack % 4;
    // Maintenance ages are spread over 42 days, so that no VM is due before the
    // simulation starts.
    Vms[I].MaintainedMs = -static_cast<wall_ms>(Random() % (42 * Day));
  }
  maintenance_result Result;
  using maintenance = plan::maintenance;
  for (wall_ms Now = 0; Now < 200 * Day; Now += StepMs) {
    const auto LostRack = Now % (7 * Day) == 23 * Hour ? Random() % 13 : 13;
    for (std::uint32_t I = 0; I < VmCount; ++I) {
      auto &Vm = Vms[I];
      if (Random() % (100 * Day / StepMs) == 0 || Vm.Rack == LostRack) {
        FailedUntilMs[I] = Now + Hour;
        HadFault[I] = true;
      }
      const bool Down = Now < FailedUntilMs[I];
      if (Down != (Vm.State == plan::vm_state::Down)) {
        Vm.State = Down ? plan::vm_state::Down : plan::vm_state::Up;
        Vm.StateSinceMs = Now;
      }
      if (Vm.HoldUntilMs <= Now)
        Vm.HoldUntilMs = Random() % 200 == 0 ? Now + 6 * Hour : 0;
      if (Vm.Maintenance == maintenance::Permitted && Vm.HoldUntilMs == 0) {
        Vm.Maintenance = maintenance::Rebooting;
        PhaseEndMs[I] = Now + StepMs;
      } else if (Vm.Maintenance == maintenance::Rebooting &&
                 PhaseEndMs[I] <= Now && Random() % 50 == 0) {
        Vm.Maintenance = maintenance::Stuck;
        PhaseEndMs[I] = Now + Day;
        HadFault[I] = true;
        ++Result.Stuck;
      } else if (Vm.Maintenance != maintenance::None && PhaseEndMs[I] <= Now &&
                 Vm.Maintenance != maintenance::Permitted) {
        const auto Age = Now - Vm.MaintainedMs;
        ++Result.Maintained;
        Result.LongestIntervalMs = std::max(Result.LongestIntervalMs, Age);
        Result.Late += Age > 49 * Day && !HadFault[I] ? 1 : 0;
        Vm.Maintenance = maintenance::None;
        Vm.MaintainedMs = Now;
        HadFault[I] = false;
      }
    }
    for (std::uint32_t I = 0; I < VmCount; ++I)
      Result.Late += Now - Vms[I].MaintainedMs == 49 * Day + StepMs &&
                             !HadFault[I] &&
                             Vms[I].Maintenance == maintenance::None
                         ? 1
                         : 0;
    const auto Plan = plan::planMaintenance(Vms, Pools, Now);
    for (std::size_t I = 0; I < Pools.size(); ++I)
      Pools[I].WaveSinceMs = Plan.Pools[I].WaveSinceMs;
    for (const auto &Permit : Plan.Permits)
      Vms[Permit.Vm].Maintenance = maintenance::Permitted;
    const auto Headrooms = plan::computeHeadroom(Vms, Pools);
    std::array<std::uint32_t, 5> PlannedDown{};
    for (const auto &Vm : Vms)
      PlannedDown.at(Vm.Pool) += Vm.State == plan::vm_state::Up && !Vm.isUp();
    for (std::size_t I = 0; I < Pools.size(); ++I) {
      if (Headrooms[I].Up < Pools[I].MinUp && PlannedDown.at(I) > 0)
        Result.BudgetBreachMs += StepMs;
    }
  }
  return Result;
}

} // namespace galenalink::bench

#endif
