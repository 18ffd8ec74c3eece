#include "galenalink/job/pool_plan.hpp"
#include <algorithm>
#include <optional>

namespace galenalink::job {

namespace {

/** Capacity that a pool keeps when it gives up a VM, as a multiple of its
 * required capacity. */
constexpr double CapacityReserveFactor = 1.25;

/** @brief The pools and movable VMs, updated with each planned move. */
struct move_planner {
  std::vector<pool_view> Pools;
  std::vector<vm_view> Vms;
  std::vector<planned_move> Moves;

  void move(const std::size_t Vm, const std::size_t To) {
    const vm_view Moved = Vms[Vm];
    Moves.push_back({Moved.Name, Pools[To].Name});
    Pools[Moved.Pool].Capacity -= Moved.Capacity;
    --Pools[Moved.Pool].VmCount;
    Pools[To].Capacity += Moved.Capacity;
    ++Pools[To].VmCount;
    Vms.erase(Vms.begin() + static_cast<std::ptrdiff_t>(Vm));
  }

  /** @brief Moves a standby or lendable VM to the pool.
   * @return Whether there was one. */
  bool addVm(const std::size_t To) {
    const auto StandbyVm = std::ranges::find_if(
        Vms, [&](const vm_view &Each) { return Pools[Each.Pool].Standby; });
    if (StandbyVm != Vms.end()) {
      move(static_cast<std::size_t>(StandbyVm - Vms.begin()), To);
      return true;
    }
    const auto Idle = std::ranges::find_if(Vms, [&](const vm_view &Each) {
      const pool_view &From = Pools[Each.Pool];
      return Each.Idle && Each.Pool != To &&
             From.VmCount > From.MinVmsWhenLending &&
             canSpareVm(From, Each.Capacity);
    });
    if (Idle == Vms.end())
      return false;
    move(static_cast<std::size_t>(Idle - Vms.begin()), To);
    return true;
  }

  /** @brief Assigns VMs one at a time to the pool with the lowest ratio of
   * capacity to required capacity, so that no pool takes all of them. */
  void coverShortfalls() {
    std::vector<bool> Exhausted(Pools.size());
    while (true) {
      std::optional<std::size_t> MostLacking;
      for (std::size_t I = 0; I < Pools.size(); ++I) {
        const bool Lacks =
            !Exhausted[I] && Pools[I].RequiredCapacity > Pools[I].Capacity;
        if (Lacks && (!MostLacking || coverage(I) < coverage(*MostLacking)))
          MostLacking = I;
      }
      if (!MostLacking)
        return;
      Exhausted[*MostLacking] = !addVm(*MostLacking);
    }
  }

  [[nodiscard]] double coverage(const std::size_t Pool) const {
    return Pools[Pool].Capacity / Pools[Pool].RequiredCapacity;
  }

  void returnIdleVms(const std::size_t From, const std::size_t Standby) {
    for (std::size_t I = 0; I < Vms.size();) {
      const pool_view &Pool = Pools[From];
      const bool CanLeave = Vms[I].Pool == From && Vms[I].Idle &&
                            Pool.VmCount > Pool.MinVms &&
                            canSpareVm(Pool, Vms[I].Capacity);
      if (CanLeave)
        move(I, Standby);
      else
        ++I;
    }
  }
};

} // namespace

bool canSpareVm(const pool_view &Pool, const double VmCapacity) {
  return Pool.Capacity - VmCapacity >=
         Pool.RequiredCapacity * CapacityReserveFactor;
}

std::vector<planned_move> planMoves(std::vector<pool_view> Pools,
                                    std::vector<vm_view> Vms) {
  move_planner Planner{std::move(Pools), std::move(Vms), {}};
  Planner.coverShortfalls();
  const auto Standby = std::ranges::find_if(Planner.Pools, &pool_view::Standby);
  if (Standby == Planner.Pools.end())
    return Planner.Moves;
  const auto Target = static_cast<std::size_t>(Standby - Planner.Pools.begin());
  for (std::size_t I = 0; I < Planner.Pools.size(); ++I) {
    if (!Planner.Pools[I].Standby && Planner.Pools[I].SustainedSurplus)
      Planner.returnIdleVms(I, Target);
  }
  return Planner.Moves;
}

} // namespace galenalink::job
