#include "galenalink/plan/maintenance.hpp"
#include "galenalink/plan/headroom.hpp"
#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

namespace galenalink::plan {

namespace {

constexpr wall_ms HourMs = 3'600'000;
constexpr std::uint32_t DayHours = 24;

[[nodiscard]] bool isOpen(const pool_view &Pool, const wall_ms At) noexcept {
  if (Pool.Windows.empty())
    return true;
  const auto Hour = static_cast<std::uint32_t>(At / HourMs % DayHours);
  return std::ranges::any_of(Pool.Windows, [Hour](const window &Window) {
    if (Window.FromHour < Window.ToHour)
      return Hour >= Window.FromHour && Hour < Window.ToHour;
    return Hour >= Window.FromHour || Hour < Window.ToHour;
  });
}

/** @brief First time not before `At` at which a window is open. */
[[nodiscard]] std::optional<wall_ms> nextOpen(const pool_view &Pool,
                                              wall_ms At) noexcept {
  for (std::uint32_t I = 0; I <= DayHours; ++I) {
    if (isOpen(Pool, At))
      return At;
    At = (At / HourMs + 1) * HourMs;
  }
  return std::nullopt;
}

[[nodiscard]] bool isOut(const vm_view &Vm) noexcept {
  return Vm.Maintenance == maintenance::Permitted ||
         Vm.Maintenance == maintenance::Rebooting;
}

[[nodiscard]] bool isFailed(const vm_view &Vm) noexcept {
  return Vm.Maintenance == maintenance::None &&
         (Vm.State == vm_state::Down || Vm.State == vm_state::Unknown);
}

/** @brief Order of places or racks in a wave; lower goes first. */
using rank_table = std::map<std::uint32_t, wall_ms>;

/** @brief Due VMs of one pool in the order in which they get permits. */
class wave_order {
public:
  wave_order(const std::span<const vm_view> Vms, const pool_view &Pool,
             const wall_ms Now)
      : Vms(Vms), Pool(Pool), Now(Now) {}

  void add(const vm_index Vm) {
    Due.push_back(Vm);
    note(Vm, Vms[Vm].MaintainedMs);
  }

  /** @brief A VM that is out: its rack and place are finished first. */
  void addOut(const vm_index Vm) {
    note(Vm, std::numeric_limits<wall_ms>::min());
  }

  [[nodiscard]] const std::vector<vm_index> &sorted() {
    std::ranges::sort(Due, {}, [this](const vm_index I) {
      const auto &Vm = Vms[I];
      return std::tuple{
          Vm.HoldUntilMs > Now, Vm.MaintainedMs + Pool.PeriodMs > Now,
          Places.at(Vm.Place),  Vm.Place,
          Racks.at(Vm.Rack),    Vm.Rack,
          Vm.MaintainedMs,      I};
    });
    return Due;
  }

private:
  void note(const vm_index Vm, const wall_ms Since) {
    const auto Lower = [Since](rank_table &Table, const std::uint32_t Key) {
      const auto [Entry, Fresh] = Table.try_emplace(Key, Since);
      Entry->second = std::min(Entry->second, Since);
    };
    Lower(Places, Vms[Vm].Place);
    Lower(Racks, Vms[Vm].Rack);
  }

  std::span<const vm_view> Vms;
  const pool_view &Pool;
  wall_ms Now;
  std::vector<vm_index> Due;
  rank_table Places;
  rank_table Racks;
};

/**
 * @brief Headroom without the VMs that were moved in for demand: if a wave
 * used them, the peak that they came for would be served late.
 */
[[nodiscard]] std::uint32_t
removableAtInitialSize(const pool_view &Pool, const headroom &Head) noexcept {
  const bool Grown = Pool.InitialVms > 0 && Head.Vms > Pool.InitialVms;
  const auto Extra = Grown ? Head.Vms - Pool.InitialVms : 0;
  return Head.Removable > Extra ? Head.Removable - Extra : 0;
}

/** @brief VMs of one pool, by their part in its wave. */
struct pool_vms {
  /** Own VMs that are due. */
  std::vector<vm_index> Due;
  /** Borrowed VMs that are past their period. */
  std::vector<vm_index> Overdue;
  bool BorrowedOut{false};

  /** @brief VMs that wait for maintenance or are in it. */
  [[nodiscard]] std::uint32_t waiting() const noexcept {
    return static_cast<std::uint32_t>(Due.size() + Out.size());
  }
  std::vector<vm_index> Out;
  std::vector<vm_index> Failed;
};

/** @brief Rounds that the slowest pool of each member still needs. */
[[nodiscard]] std::map<customer_index, std::uint32_t>
remainingRounds(const std::span<const pool_view> Pools,
                const std::vector<pool_vms> &Members,
                const std::vector<headroom> &Headrooms) {
  std::map<customer_index, std::uint32_t> Rounds;
  for (std::size_t I = 0; I < Pools.size(); ++I) {
    auto Full = Headrooms[I];
    Full.Removable = Full.MaxRemovable;
    const auto Removable = removableAtInitialSize(Pools[I], Full);
    auto &Slowest = Rounds[Pools[I].Member];
    if (Removable > 0 && Pools[I].MinUp > 0)
      Slowest =
          std::max(Slowest, (Members[I].waiting() + Removable - 1) / Removable);
  }
  return Rounds;
}

/**
 * @brief VMs that a pool may have out at a time so that it is ready together
 * with the slowest pool of its member. Being ready earlier does not shorten
 * the roll-out and takes more VMs from work at once. VMs past their period are
 * not held back.
 */
[[nodiscard]] std::uint32_t pace(const std::span<const vm_view> Vms,
                                 const pool_view &Pool, const pool_vms &Members,
                                 const std::uint32_t Rounds,
                                 const wall_ms Now) {
  const bool Late = std::ranges::any_of(Members.Due, [&](const vm_index Vm) {
    return Vms[Vm].MaintainedMs + Pool.PeriodMs <= Now;
  });
  if (Late || Rounds == 0)
    return std::numeric_limits<std::uint32_t>::max();
  return (Members.waiting() + Rounds - 1) / Rounds;
}

void planPool(const std::span<const vm_view> Vms, const pool_view &Pool,
              const pool_vms &Members, const headroom &Head,
              const std::uint32_t Rounds, const wall_ms Now,
              maintenance_plan &Plan, pool_wave &Wave) {
  Wave.Due = static_cast<std::uint32_t>(Members.Due.size());
  Wave.WaveSinceMs = Pool.WaveSinceMs;
  if (!Members.Out.empty() && !Wave.WaveSinceMs)
    Wave.WaveSinceMs = std::numeric_limits<wall_ms>::min();
  if (Members.Due.empty() && Members.Overdue.empty()) {
    if (Members.Out.empty())
      Wave.WaveSinceMs.reset();
    return;
  }
  bool FailedInWave = false;
  for (const auto Vm : Members.Failed) {
    if (Wave.WaveSinceMs && Vms[Vm].StateSinceMs >= *Wave.WaveSinceMs) {
      FailedInWave = true;
      Plan.Failed.push_back(Vm);
    }
  }
  if (FailedInWave) {
    Wave.Status = wave_status::FailureInWave;
    return;
  }
  if (!isOpen(Pool, Now)) {
    Wave.Status = wave_status::OutsideWindow;
    return;
  }
  const auto Before = Plan.Permits.size();
  wave_order Order{Vms, Pool, Now};
  std::ranges::for_each(Members.Out, [&](vm_index Vm) { Order.addOut(Vm); });
  std::ranges::for_each(Members.Due, [&](vm_index Vm) { Order.add(Vm); });
  const auto &Sorted = Order.sorted();
  const auto Pace = pace(Vms, Pool, Members, Rounds, Now);
  const auto Out = static_cast<std::uint32_t>(Members.Out.size());
  const auto Count =
      std::min<std::size_t>({removableAtInitialSize(Pool, Head), Sorted.size(),
                             Pace > Out ? Pace - Out : 0});
  for (std::size_t I = 0; I < Count; ++I)
    Plan.Permits.push_back({Sorted[I], Vms[Sorted[I]].Epoch});
  // A borrowed VM is in no budget and therefore needs no room.
  if (!Members.Overdue.empty() && !Members.BorrowedOut) {
    const auto Vm = *std::ranges::min_element(
        Members.Overdue, {}, [&](vm_index I) { return Vms[I].MaintainedMs; });
    Plan.Permits.push_back({Vm, Vms[Vm].Epoch});
  }
  if (Plan.Permits.size() == Before) {
    Wave.Status = Pace <= Out ? wave_status::Paced : wave_status::NoHeadroom;
    return;
  }
  Wave.Status = wave_status::Permitted;
  if (!Wave.WaveSinceMs)
    Wave.WaveSinceMs = Now;
}

} // namespace

maintenance_plan planMaintenance(const std::span<const vm_view> Vms,
                                 const std::span<const pool_view> Pools,
                                 const wall_ms Now) {
  maintenance_plan Plan;
  Plan.Pools.resize(Pools.size());
  std::vector<pool_vms> Members(Pools.size());
  for (vm_index I = 0; I < Vms.size(); ++I) {
    const auto &Vm = Vms[I];
    auto &Lists = Members[Vm.Pool];
    const auto &Pool = Pools[Vm.Pool];
    const bool Borrowed = Vm.Owner != Pool.Member;
    if (isDue(Vm, Pool, Now) && !Borrowed)
      Lists.Due.push_back(I);
    if (isDue(Vm, Pool, Now) && Borrowed &&
        Vm.MaintainedMs + Pool.PeriodMs <= Now)
      Lists.Overdue.push_back(I);
    if (isOut(Vm)) {
      Lists.Out.push_back(I);
      Lists.BorrowedOut |= Borrowed;
    }
    if (isFailed(Vm))
      Lists.Failed.push_back(I);
    if (Vm.Maintenance == maintenance::Stuck)
      Plan.Stuck.push_back(I);
  }
  const auto Headrooms = computeHeadroom(Vms, Pools);
  const auto Rounds = remainingRounds(Pools, Members, Headrooms);
  for (pool_index I = 0; I < Pools.size(); ++I)
    planPool(Vms, Pools[I], Members[I], Headrooms[I],
             Rounds.at(Pools[I].Member), Now, Plan, Plan.Pools[I]);
  return Plan;
}

std::optional<wall_ms> rolloutLowerBound(const std::span<const vm_view> Vms,
                                         const std::span<const pool_view> Pools,
                                         const wall_ms Start,
                                         const wall_ms DowntimeMs) {
  std::vector<std::uint32_t> Due(Pools.size());
  for (const auto &Vm : Vms) {
    if (isDue(Vm, Pools[Vm.Pool], Start) && Vm.Owner == Pools[Vm.Pool].Member)
      ++Due[Vm.Pool];
  }
  const auto Headrooms = computeHeadroom(Vms, Pools);
  wall_ms End = Start;
  for (std::size_t I = 0; I < Pools.size(); ++I) {
    if (Due[I] == 0)
      continue;
    const auto Removable = Headrooms[I].MaxRemovable;
    if (Removable == 0)
      return std::nullopt;
    auto At = Start;
    for (auto Rounds = (Due[I] + Removable - 1) / Removable; Rounds > 0;
         --Rounds) {
      const auto Open = nextOpen(Pools[I], At);
      if (!Open)
        return std::nullopt;
      At = *Open + DowntimeMs;
    }
    End = std::max(End, At);
  }
  return End - Start;
}

} // namespace galenalink::plan
