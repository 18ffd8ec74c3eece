#include "galenalink/job/pool_plan.hpp"
#include <algorithm>
#include <optional>

namespace galenalink::job {

namespace {

/** Room beyond the need that a pool keeps when it gives a VM away. */
constexpr double KeptShare = 1.25;

struct plan {
  std::vector<pool_view> Pools;
  std::vector<vm_view> Vms;
  std::vector<planned_move> Moves;

  void move(const std::size_t Vm, const std::size_t To) {
    const vm_view Moved = Vms[Vm];
    Moves.push_back({Moved.Name, Pools[To].Name});
    Pools[Moved.Pool].Room -= Moved.Room;
    --Pools[Moved.Pool].Vms;
    Pools[To].Room += Moved.Room;
    ++Pools[To].Vms;
    Vms.erase(Vms.begin() + static_cast<std::ptrdiff_t>(Vm));
  }

  /** @return Whether a VM could be found for the pool. */
  bool grow(const std::size_t To) {
    const auto Standby = std::ranges::find_if(
        Vms, [&](const vm_view &Each) { return Pools[Each.Pool].Standby; });
    if (Standby != Vms.end()) {
      move(static_cast<std::size_t>(Standby - Vms.begin()), To);
      return true;
    }
    const auto Idle = std::ranges::find_if(Vms, [&](const vm_view &Each) {
      const pool_view &From = Pools[Each.Pool];
      return Each.Idle && Each.Pool != To && From.Vms > From.LendFloor &&
             hasSurplus(From, Each.Room);
    });
    if (Idle == Vms.end())
      return false;
    move(static_cast<std::size_t>(Idle - Vms.begin()), To);
    return true;
  }

  /** @brief Gives one VM after the other to the pool that is shortest of room
   * against its need, so that no pool takes all of them. */
  void growAll() {
    std::vector<bool> Stuck(Pools.size());
    while (true) {
      std::optional<std::size_t> Shortest;
      for (std::size_t I = 0; I < Pools.size(); ++I) {
        const bool Short = !Stuck[I] && Pools[I].Need > Pools[I].Room;
        if (Short && (!Shortest || share(I) < share(*Shortest)))
          Shortest = I;
      }
      if (!Shortest)
        return;
      Stuck[*Shortest] = !grow(*Shortest);
    }
  }

  [[nodiscard]] double share(const std::size_t Pool) const {
    return Pools[Pool].Room / Pools[Pool].Need;
  }

  void shrink(const std::size_t From, const std::size_t Standby) {
    for (std::size_t I = 0; I < Vms.size();) {
      const pool_view &Pool = Pools[From];
      const bool Leaves = Vms[I].Pool == From && Vms[I].Idle &&
                          Pool.Vms > Pool.Floor &&
                          hasSurplus(Pool, Vms[I].Room);
      if (Leaves)
        move(I, Standby);
      else
        ++I;
    }
  }
};

} // namespace

bool hasSurplus(const pool_view &Pool, const double VmRoom) {
  return Pool.Room - VmRoom >= Pool.Need * KeptShare;
}

std::vector<planned_move> planMoves(std::vector<pool_view> Pools,
                                    std::vector<vm_view> Vms) {
  plan Plan{std::move(Pools), std::move(Vms), {}};
  Plan.growAll();
  const auto Standby = std::ranges::find_if(Plan.Pools, &pool_view::Standby);
  if (Standby == Plan.Pools.end())
    return Plan.Moves;
  const auto Target = static_cast<std::size_t>(Standby - Plan.Pools.begin());
  for (std::size_t I = 0; I < Plan.Pools.size(); ++I) {
    if (!Plan.Pools[I].Standby && Plan.Pools[I].LongSurplus)
      Plan.shrink(I, Target);
  }
  return Plan.Moves;
}

} // namespace galenalink::job
