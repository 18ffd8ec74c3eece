#include "galenalink/plan/maintenance.hpp"
#include "galenalink/plan/headroom.hpp"
#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

namespace galenalink::plan {

namespace {

constexpr wall_ms HourMs = 3'600'000;
constexpr std::uint32_t HoursPerDay = 24;

[[nodiscard]] bool isInWindow(const pool_view &Pool,
                              const wall_ms At) noexcept {
  if (Pool.Windows.empty())
    return true;
  const auto Hour = static_cast<std::uint32_t>(At / HourMs % HoursPerDay);
  return std::ranges::any_of(Pool.Windows, [Hour](const window &Window) {
    if (Window.FromHour < Window.ToHour)
      return Hour >= Window.FromHour && Hour < Window.ToHour;
    return Hour >= Window.FromHour || Hour < Window.ToHour;
  });
}

/** @brief Earliest time from `At` on that lies in a window. */
[[nodiscard]] std::optional<wall_ms> nextWindowTime(const pool_view &Pool,
                                                    wall_ms At) noexcept {
  for (std::uint32_t I = 0; I <= HoursPerDay; ++I) {
    if (isInWindow(Pool, At))
      return At;
    At = (At / HourMs + 1) * HourMs;
  }
  return std::nullopt;
}

[[nodiscard]] bool isInMaintenance(const vm_view &Vm) noexcept {
  return Vm.Maintenance == maintenance::Permitted ||
         Vm.Maintenance == maintenance::Rebooting;
}

[[nodiscard]] bool isFailed(const vm_view &Vm) noexcept {
  return Vm.Maintenance == maintenance::None &&
         (Vm.State == vm_state::Down || Vm.State == vm_state::Unknown);
}

/** @brief Rank of each data centre or rack in a wave; lowest goes first. */
using rank_table = std::map<std::uint32_t, wall_ms>;

/** @brief Sorts the due VMs of one pool into the order of their permits. */
class wave_order {
public:
  wave_order(const std::span<const vm_view> Vms, const pool_view &Pool,
             const wall_ms Now)
      : Vms(Vms), Pool(Pool), Now(Now) {}

  void add(const vm_index Vm) {
    Due.push_back(Vm);
    updateRanks(Vm, Vms[Vm].MaintainedMs);
  }

  /** @brief Adds a VM in maintenance: its rack and data centre go first. */
  void addInMaintenance(const vm_index Vm) {
    updateRanks(Vm, std::numeric_limits<wall_ms>::min());
  }

  [[nodiscard]] const std::vector<vm_index> &sortedVms() {
    std::ranges::sort(Due, {}, [this](const vm_index I) {
      const auto &Vm = Vms[I];
      return std::tuple{Vm.HoldUntilMs > Now,
                        Vm.MaintainedMs + Pool.PeriodMs > Now,
                        DataCentres.at(Vm.DataCentre),
                        Vm.DataCentre,
                        Racks.at(Vm.Rack),
                        Vm.Rack,
                        Vm.MaintainedMs,
                        I};
    });
    return Due;
  }

private:
  void updateRanks(const vm_index Vm, const wall_ms Since) {
    const auto LowerRank = [Since](rank_table &Table, const std::uint32_t Key) {
      const auto [Entry, Inserted] = Table.try_emplace(Key, Since);
      Entry->second = std::min(Entry->second, Since);
    };
    LowerRank(DataCentres, Vms[Vm].DataCentre);
    LowerRank(Racks, Vms[Vm].Rack);
  }

  std::span<const vm_view> Vms;
  const pool_view &Pool;
  wall_ms Now;
  std::vector<vm_index> Due;
  rank_table DataCentres;
  rank_table Racks;
};

/**
 * @brief Headroom without the VMs that were moved in for a demand peak: using
 * their capacity for a wave would delay the work of that peak.
 */
[[nodiscard]] std::uint32_t
removableAtInitialSize(const pool_view &Pool,
                       const headroom &PoolHeadroom) noexcept {
  const bool AboveInitialSize =
      Pool.InitialVms > 0 && PoolHeadroom.Vms > Pool.InitialVms;
  const auto Extra = AboveInitialSize ? PoolHeadroom.Vms - Pool.InitialVms : 0;
  return PoolHeadroom.Removable > Extra ? PoolHeadroom.Removable - Extra : 0;
}

/** @brief VMs of one pool, grouped by their role in its wave. */
struct pool_vms {
  /** Own VMs that are due. */
  std::vector<vm_index> Due;
  /** Borrowed VMs past their period. */
  std::vector<vm_index> Overdue;
  bool BorrowedInMaintenance{false};

  /** @brief Number of VMs that are due or in maintenance. */
  [[nodiscard]] std::uint32_t remaining() const noexcept {
    return static_cast<std::uint32_t>(Due.size() + InMaintenance.size());
  }
  std::vector<vm_index> InMaintenance;
  std::vector<vm_index> Failed;
};

/** @brief Rounds that the slowest pool of each customer still needs. */
[[nodiscard]] std::map<customer_index, std::uint32_t>
remainingRounds(const std::span<const pool_view> Pools,
                const std::vector<pool_vms> &VmsByPool,
                const std::vector<headroom> &Headrooms) {
  std::map<customer_index, std::uint32_t> Rounds;
  for (std::size_t I = 0; I < Pools.size(); ++I) {
    auto AllUp = Headrooms[I];
    AllUp.Removable = AllUp.MaxRemovable;
    const auto Removable = removableAtInitialSize(Pools[I], AllUp);
    auto &Slowest = Rounds[Pools[I].Customer];
    if (Removable > 0 && Pools[I].MinUp > 0)
      Slowest = std::max(Slowest, (VmsByPool[I].remaining() + Removable - 1) /
                                      Removable);
  }
  return Rounds;
}

/**
 * @brief Number of VMs that a pool may have in maintenance at once so that it
 * finishes together with the slowest pool of its customer. Finishing earlier
 * does not shorten the roll-out and takes more VMs out of service at once. No
 * limit applies while a due VM is past its period.
 */
[[nodiscard]] std::uint32_t paceLimit(const std::span<const vm_view> Vms,
                                      const pool_view &Pool,
                                      const pool_vms &PoolVms,
                                      const std::uint32_t Rounds,
                                      const wall_ms Now) {
  const bool AnyOverdue =
      std::ranges::any_of(PoolVms.Due, [&](const vm_index Vm) {
        return Vms[Vm].MaintainedMs + Pool.PeriodMs <= Now;
      });
  if (AnyOverdue || Rounds == 0)
    return std::numeric_limits<std::uint32_t>::max();
  return (PoolVms.remaining() + Rounds - 1) / Rounds;
}

void planPool(const std::span<const vm_view> Vms, const pool_view &Pool,
              const pool_vms &PoolVms, const headroom &PoolHeadroom,
              const std::uint32_t Rounds, const wall_ms Now,
              maintenance_plan &Plan, pool_wave &Wave) {
  Wave.Due = static_cast<std::uint32_t>(PoolVms.Due.size());
  Wave.WaveSinceMs = Pool.WaveSinceMs;
  if (!PoolVms.InMaintenance.empty() && !Wave.WaveSinceMs)
    Wave.WaveSinceMs = std::numeric_limits<wall_ms>::min();
  if (PoolVms.Due.empty() && PoolVms.Overdue.empty()) {
    if (PoolVms.InMaintenance.empty())
      Wave.WaveSinceMs.reset();
    return;
  }
  bool FailedInWave = false;
  for (const auto Vm : PoolVms.Failed) {
    if (Wave.WaveSinceMs && Vms[Vm].StateSinceMs >= *Wave.WaveSinceMs) {
      FailedInWave = true;
      Plan.Failed.push_back(Vm);
    }
  }
  if (FailedInWave) {
    Wave.Status = wave_status::FailureInWave;
    return;
  }
  if (!isInWindow(Pool, Now)) {
    Wave.Status = wave_status::OutsideWindow;
    return;
  }
  const auto Before = Plan.Permits.size();
  wave_order Order{Vms, Pool, Now};
  std::ranges::for_each(PoolVms.InMaintenance,
                        [&](vm_index Vm) { Order.addInMaintenance(Vm); });
  std::ranges::for_each(PoolVms.Due, [&](vm_index Vm) { Order.add(Vm); });
  const auto &Sorted = Order.sortedVms();
  const auto PaceLimit = paceLimit(Vms, Pool, PoolVms, Rounds, Now);
  const auto InMaintenance =
      static_cast<std::uint32_t>(PoolVms.InMaintenance.size());
  const auto Count = std::min<std::size_t>(
      {removableAtInitialSize(Pool, PoolHeadroom), Sorted.size(),
       PaceLimit > InMaintenance ? PaceLimit - InMaintenance : 0});
  for (std::size_t I = 0; I < Count; ++I)
    Plan.Permits.push_back({Sorted[I], Vms[Sorted[I]].Epoch});
  // A borrowed VM counts towards no budget and therefore needs no headroom.
  if (!PoolVms.Overdue.empty() && !PoolVms.BorrowedInMaintenance) {
    const auto Vm = *std::ranges::min_element(
        PoolVms.Overdue, {}, [&](vm_index I) { return Vms[I].MaintainedMs; });
    Plan.Permits.push_back({Vm, Vms[Vm].Epoch});
  }
  if (Plan.Permits.size() == Before) {
    Wave.Status = PaceLimit <= InMaintenance ? wave_status::Paced
                                             : wave_status::NoHeadroom;
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
  std::vector<pool_vms> VmsByPool(Pools.size());
  for (vm_index I = 0; I < Vms.size(); ++I) {
    const auto &Vm = Vms[I];
    auto &PoolVms = VmsByPool[Vm.Pool];
    const auto &Pool = Pools[Vm.Pool];
    const bool Borrowed = Vm.Owner != Pool.Customer;
    if (isDue(Vm, Pool, Now) && !Borrowed)
      PoolVms.Due.push_back(I);
    if (isDue(Vm, Pool, Now) && Borrowed &&
        Vm.MaintainedMs + Pool.PeriodMs <= Now)
      PoolVms.Overdue.push_back(I);
    if (isInMaintenance(Vm)) {
      PoolVms.InMaintenance.push_back(I);
      PoolVms.BorrowedInMaintenance |= Borrowed;
    }
    if (isFailed(Vm))
      PoolVms.Failed.push_back(I);
    if (Vm.Maintenance == maintenance::Stuck)
      Plan.Stuck.push_back(I);
  }
  const auto Headrooms = computeHeadroom(Vms, Pools);
  const auto Rounds = remainingRounds(Pools, VmsByPool, Headrooms);
  for (pool_index I = 0; I < Pools.size(); ++I)
    planPool(Vms, Pools[I], VmsByPool[I], Headrooms[I],
             Rounds.at(Pools[I].Customer), Now, Plan, Plan.Pools[I]);
  return Plan;
}

std::optional<wall_ms> rolloutLowerBound(const std::span<const vm_view> Vms,
                                         const std::span<const pool_view> Pools,
                                         const wall_ms Start,
                                         const wall_ms DowntimeMs) {
  std::vector<std::uint32_t> Due(Pools.size());
  for (const auto &Vm : Vms) {
    if (isDue(Vm, Pools[Vm.Pool], Start) && Vm.Owner == Pools[Vm.Pool].Customer)
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
      const auto WindowTime = nextWindowTime(Pools[I], At);
      if (!WindowTime)
        return std::nullopt;
      At = *WindowTime + DowntimeMs;
    }
    End = std::max(End, At);
  }
  return End - Start;
}

} // namespace galenalink::plan
