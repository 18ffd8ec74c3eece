#ifndef GALENALINK_BENCH_PLAN_DRIVER_HPP
#define GALENALINK_BENCH_PLAN_DRIVER_HPP

#include "galenalink/plan/buffer.hpp"
#include "galenalink/plan/headroom.hpp"
#include "galenalink/plan/maintenance.hpp"
#include "plan_workload.hpp"
#include <deque>
#include <functional>

namespace galenalink::bench {

inline constexpr wall_ms PlanIntervalMs = 1'000;
inline constexpr wall_ms RolloutStartMs = 600'000;
inline constexpr wall_ms RebootMs = 300'000;
inline constexpr wall_ms DrainMs = 1'000;
inline constexpr std::uint32_t InitialVms = 10;
inline constexpr std::uint32_t MinUp = 6;
inline constexpr std::uint32_t SlotsPerVm = 8;
inline constexpr std::uint32_t DataCentreCount = 4;
inline constexpr std::uint32_t VmsPerRack = 4;
/** One pool for each queue, followed by one spare pool for each customer. */
inline constexpr std::size_t PoolCount = QueueCount + CustomerCount;

/** @brief Buffer VMs beyond the initial pool sizes. */
struct buffer_sizing {
  /** Static reserve of each pool. */
  std::array<std::uint32_t, QueueCount> Reserve{};
  /** VMs in the spare pool of each customer. */
  std::array<std::uint32_t, CustomerCount> Spares{};

  [[nodiscard]] std::uint32_t total() const {
    std::uint32_t Sum = 0;
    for (const auto Vms : Reserve)
      Sum += Vms;
    for (const auto Vms : Spares)
      Sum += Vms;
    return Sum;
  }
};

struct simulation_result {
  std::uint64_t Jobs{0};
  /** Jobs dropped because they could not meet their deadline, by queue. */
  std::array<std::uint64_t, QueueCount> Missed{};
  std::array<std::uint64_t, QueueCount> Arrived{};
  std::uint64_t Moves{0};
  /** Moves to a pool of another customer than the owner of the VM. */
  std::uint64_t Lent{0};
  /** Time during which a planned action kept a pool below its minimum of
   * serving VMs. */
  wall_ms BudgetBreachMs{0};
  /** Time from the start of the maintenance roll-out to its last VM. */
  wall_ms RolloutMs{0};
  /** Lower bound of `RolloutMs`. */
  wall_ms RolloutBoundMs{0};
  std::uint32_t NotMaintained{0};
  wall_ms P99WaitMs{0};

  [[nodiscard]] std::uint64_t totalMissed() const {
    std::uint64_t Sum = 0;
    for (const auto Each : Missed)
      Sum += Each;
    return Sum;
  }
};

/** @brief Plans moves between pools; empty for a static reserve. */
using move_policy =
    std::function<plan::buffer_plan(const plan::buffer_input &, wall_ms Now)>;

/**
 * @brief Simulates the fleet under one policy in virtual time.
 *
 * Queues are FIFO and drop jobs that can no longer meet their deadline. A move
 * takes 300 ms, or 2 s when its barrier has to wait until the authority of an
 * unresponsive node expires.
 */
class driver {
public:
  driver(const workload &Load, const faults &Faults,
         const buffer_sizing &Sizing, std::uint64_t Seed, move_policy Policy,
         plan::buffer_settings Settings = {})
      : Load(Load), Faults(Faults), Settings(Settings),
        Policy(std::move(Policy)), Random(Seed) {
    addPools(Sizing);
    for (std::size_t Customer = 0; Customer < CustomerCount; ++Customer)
      addVms(Sizing, Customer);
    addFailures();
    QueueHistory.assign(QueueCount, {});
  }

  [[nodiscard]] simulation_result run() {
    for (Tick = 0; Tick < TickCount; ++Tick) {
      Now = static_cast<wall_ms>(Tick) * TickMs;
      for (auto &Vm : Vms)
        advanceVm(Vm);
      startLongJobs();
      serveQueues();
      measureBudgetBreaches();
      if (Now % PlanIntervalMs == 0)
        planMaintenanceAndMoves();
    }
    summarizeResult();
    return Result;
  }

private:
  struct vm {
    plan::vm_view View;
    wall_ms MoveEndMs{0};
    /** End of the drain or reboot in progress. */
    wall_ms MaintenancePhaseEndMs{0};
    wall_ms LongJobEndMs{0};
    /** Start and end of each failure. */
    std::vector<std::pair<wall_ms, wall_ms>> Failures;

    [[nodiscard]] bool isDown(const wall_ms At) const {
      return std::ranges::any_of(Failures, [At](const auto &Failure) {
        return Failure.first <= At && At < Failure.second;
      });
    }
    [[nodiscard]] bool canServe(const wall_ms At) const {
      return View.isUp() && !isDown(At);
    }
  };

  /** Queued jobs that arrived in the same tick. */
  struct batch {
    std::size_t Tick;
    std::uint32_t Jobs;
  };

  void addPools(const buffer_sizing &Sizing) {
    for (std::size_t I = 0; I < PoolCount; ++I) {
      plan::pool_view Pool;
      Pool.Spare = I >= QueueCount;
      Pool.Customer = static_cast<plan::customer_index>(
          Pool.Spare ? I - QueueCount : I / PoolsPerCustomer);
      if (!Pool.Spare) {
        // The budget includes the reserve, so that maintenance cannot use it.
        Pool.MinUp = MinUp + Sizing.Reserve[I];
        Pool.InitialVms = InitialVms + Sizing.Reserve[I];
      }
      Pool.PeriodMs = 49 * DayMs;
      Pool.LeadMs = DayMs;
      PoolViews.push_back(Pool);
    }
  }

  void addVms(const buffer_sizing &Sizing, const std::size_t Customer) {
    std::vector<plan::pool_index> InitialPools;
    for (std::size_t I = 0; I < PoolsPerCustomer; ++I) {
      const auto Pool = Customer * PoolsPerCustomer + I;
      InitialPools.insert(InitialPools.end(), InitialVms + Sizing.Reserve[Pool],
                          static_cast<plan::pool_index>(Pool));
    }
    // The rack layout depends on the seed; spares are spread over data centres.
    // A rack that holds VMs of one pool only would leave that pool no headroom
    // for maintenance; operators would avoid such a layout.
    do {
      std::ranges::shuffle(InitialPools, Random);
    } while (maxPoolVmsPerRack(InitialPools) >= VmsPerRack);
    const auto Spares = Sizing.Spares[Customer];
    for (std::uint32_t I = 0; I < Spares; ++I)
      InitialPools.insert(
          InitialPools.begin() +
              static_cast<std::ptrdiff_t>(std::size_t{I} * VmsPerRack %
                                          InitialPools.size()),
          static_cast<plan::pool_index>(QueueCount + Customer));
    for (std::uint32_t I = 0; I < InitialPools.size(); ++I) {
      vm Vm;
      Vm.View.Owner = static_cast<plan::customer_index>(Customer);
      Vm.View.Pool = InitialPools[I];
      Vm.View.Rack =
          static_cast<plan::rack_index>(Customer * 1'000) + I / VmsPerRack;
      Vm.View.DataCentre = Vm.View.Rack % DataCentreCount;
      Vm.View.PoolSinceMs = -DayMs;
      Vm.View.MaintainedMs = RolloutStartMs - 48 * DayMs;
      Vms.push_back(Vm);
    }
  }

  /** @return Largest number of VMs that one pool has in the same rack. */
  [[nodiscard]] static std::uint32_t
  maxPoolVmsPerRack(const std::vector<plan::pool_index> &InitialPools) {
    std::uint32_t Largest = 0;
    for (std::size_t First = 0; First < InitialPools.size();
         First += VmsPerRack) {
      const auto Begin =
          InitialPools.begin() + static_cast<std::ptrdiff_t>(First);
      const auto End = InitialPools.begin() +
                       static_cast<std::ptrdiff_t>(std::min<std::size_t>(
                           First + VmsPerRack, InitialPools.size()));
      for (auto It = Begin; It != End; ++It)
        Largest = std::max(
            Largest, static_cast<std::uint32_t>(std::count(Begin, End, *It)));
    }
    return Largest;
  }

  void addFailures() {
    std::uniform_int_distribution<wall_ms> FailureTime{RolloutStartMs,
                                                       SimulatedMs / 2};
    for (int I = 0; I < Faults.VmFailures; ++I) {
      const auto At = FailureTime(Random);
      Vms[Random() % Vms.size()].Failures.emplace_back(At, At + 180'000);
    }
    for (std::uint32_t Customer = 0;
         Faults.RackLoss && Customer < CustomerCount; ++Customer) {
      const auto Rack = std::uint64_t{Customer} * 1'000 + Random() % 12;
      for (auto &Vm : Vms) {
        if (Vm.View.Rack == Rack)
          Vm.Failures.emplace_back(RolloutStartMs + 900'000,
                                   RolloutStartMs + 1'200'000);
      }
    }
  }

  void advanceVm(vm &Vm) {
    auto &View = Vm.View;
    if (Vm.LongJobEndMs != 0 && (Vm.LongJobEndMs <= Now || Vm.isDown(Now))) {
      Vm.LongJobEndMs = 0;
      View.HoldUntilMs = 0;
    }
    if (View.Motion != plan::move_phase::None && Vm.MoveEndMs <= Now &&
        Vm.LongJobEndMs == 0) {
      View.Pool = View.To;
      View.Motion = plan::move_phase::None;
      View.PoolSinceMs = Now;
      ++View.Epoch;
      ++Result.Moves;
      Result.Lent += PoolViews[View.Pool].Customer != View.Owner ? 1 : 0;
    }
    if (View.Maintenance == plan::maintenance::Permitted &&
        Vm.MaintenancePhaseEndMs <= Now && Vm.LongJobEndMs == 0) {
      View.Maintenance = plan::maintenance::Rebooting;
      Vm.MaintenancePhaseEndMs = Now + RebootMs;
    } else if (View.Maintenance == plan::maintenance::Rebooting &&
               Vm.MaintenancePhaseEndMs <= Now) {
      View.Maintenance = plan::maintenance::None;
      View.MaintainedMs = Now;
      Result.RolloutMs = Now - RolloutStartMs;
    }
    const bool Down = Vm.isDown(Now - Faults.VmListLagMs);
    if (Down != (View.State == plan::vm_state::Down)) {
      View.State = Down ? plan::vm_state::Down : plan::vm_state::Up;
      View.StateSinceMs = Now;
    }
  }

  /** @brief Keeps one long job running in each pool. */
  void startLongJobs() {
    std::array<bool, PoolCount> HasLongJob{};
    for (const auto &Vm : Vms)
      HasLongJob[Vm.View.Pool] =
          HasLongJob[Vm.View.Pool] || Vm.LongJobEndMs != 0;
    std::uniform_int_distribution<wall_ms> Duration{300'000, 1'500'000};
    for (std::size_t Pool = 0; Pool < QueueCount; ++Pool) {
      if (HasLongJob[Pool])
        continue;
      std::vector<vm *> Candidates;
      for (auto &Vm : Vms) {
        if (Vm.View.Pool == Pool && Vm.canServe(Now) &&
            Vm.View.Owner == PoolViews[Pool].Customer)
          Candidates.push_back(&Vm);
      }
      if (Candidates.empty())
        continue;
      auto &Vm = *Candidates[Random() % Candidates.size()];
      Vm.LongJobEndMs = Now + Duration(Random);
      Vm.View.HoldUntilMs = Now + 1'800'000;
    }
  }

  void serveQueues() {
    std::array<std::uint32_t, PoolCount> Slots{};
    for (const auto &Vm : Vms) {
      if (Vm.canServe(Now))
        Slots[Vm.View.Pool] += SlotsPerVm - (Vm.LongJobEndMs != 0 ? 1 : 0);
    }
    for (std::size_t I = 0; I < QueueCount; ++I) {
      auto &Queue = WaitingJobs[I];
      if (const auto Jobs = Load.arrivalsAt(I, Tick); Jobs > 0) {
        Queue.push_back({Tick, Jobs});
        Result.Arrived[I] += Jobs;
      }
      const auto Slack =
          static_cast<std::size_t>(SlackMs[PoolViews[I].Customer] / TickMs);
      while (!Queue.empty() && Tick - Queue.front().Tick > Slack) {
        Result.Missed[I] += Queue.front().Jobs;
        Queue.pop_front();
      }
      auto Startable = static_cast<std::uint32_t>(Slots[I] * TickMs / JobMs);
      while (!Queue.empty() && Startable > 0) {
        auto &Front = Queue.front();
        const auto StartedJobs = std::min(Startable, Front.Jobs);
        WaitHistogram[Tick - Front.Tick] += StartedJobs;
        Startable -= StartedJobs;
        Front.Jobs -= StartedJobs;
        if (Front.Jobs == 0)
          Queue.pop_front();
      }
      if (Now % PlanIntervalMs == 0) {
        std::uint64_t Queued = 0;
        for (const auto &Batch : Queue)
          Queued += Batch.Jobs;
        QueueHistory[I].push_back(Queued * JobMs);
      }
    }
  }

  void measureBudgetBreaches() {
    std::array<std::uint32_t, PoolCount> Up{};
    std::array<std::uint32_t, PoolCount> PlannedDown{};
    for (const auto &Vm : Vms) {
      const auto Pool = Vm.View.Pool;
      if (Vm.View.Owner != PoolViews[Pool].Customer)
        continue;
      Up[Pool] += Vm.canServe(Now) ? 1 : 0;
      PlannedDown[Pool] += !Vm.View.isUp() && !Vm.isDown(Now) ? 1 : 0;
    }
    for (std::size_t I = 0; I < QueueCount; ++I) {
      if (Up[I] < PoolViews[I].MinUp && PlannedDown[I] > 0)
        Result.BudgetBreachMs += TickMs;
    }
  }

  void planMaintenanceAndMoves() {
    std::vector<plan::vm_view> Views;
    for (const auto &Vm : Vms)
      Views.push_back(Vm.View);
    // The bound holds for the initial pool sizes, before VMs move with demand.
    if (Now == 0)
      Result.RolloutBoundMs =
          plan::rolloutLowerBound(Views, PoolViews, RolloutStartMs,
                                  RebootMs + DrainMs)
              .value_or(0);
    const auto Waves = plan::planMaintenance(Views, PoolViews, Now);
    for (std::size_t I = 0; I < PoolCount; ++I)
      PoolViews[I].WaveSinceMs = Waves.Pools[I].WaveSinceMs;
    for (const auto &Permit : Waves.Permits) {
      Vms[Permit.Vm].View.Maintenance = plan::maintenance::Permitted;
      Vms[Permit.Vm].MaintenancePhaseEndMs = Now + DrainMs;
      Views[Permit.Vm] = Vms[Permit.Vm].View;
    }
    if (Policy)
      planMoves(Views);
  }

  void planMoves(const std::vector<plan::vm_view> &Views) {
    std::vector<plan::pool_demand> Demand(PoolCount);
    const auto ObservedAtMs = std::max<wall_ms>(Now - Faults.DemandLagMs, 0);
    for (std::size_t I = 0; I < QueueCount; ++I) {
      const auto Jobs = Load.arrivalsInLastSecond(
          I, static_cast<std::size_t>(ObservedAtMs / TickMs));
      Demand[I].AtMs = ObservedAtMs;
      Demand[I].Slots = static_cast<std::uint32_t>(Jobs * JobMs / 1'000);
      Demand[I].QueuedSlotMs =
          QueueHistory[I]
                      [static_cast<std::size_t>(ObservedAtMs / PlanIntervalMs)];
      Demand[I].SlackMs = SlackMs[PoolViews[I].Customer];
    }
    const std::array<plan::lending_quota, 2> Quotas{{{0, 1, 4}, {1, 0, 4}}};
    auto Plan =
        Policy({Views, PoolViews, Demand, Quotas, Settings, State}, Now);
    State = std::move(Plan.State);
    for (const auto &Move : Plan.Moves) {
      auto &Vm = Vms[Move.Vm];
      Vm.View.Motion = plan::move_phase::Releasing;
      Vm.View.To = Move.To;
      Vm.MoveEndMs = Now + (Random() % 10 == 0 ? 2'000 : 300);
    }
  }

  void summarizeResult() {
    for (const auto &Vm : Vms)
      Result.NotMaintained += Vm.View.MaintainedMs < RolloutStartMs ? 1 : 0;
    std::uint64_t Started = 0;
    for (const auto Count : WaitHistogram)
      Started += Count;
    std::uint64_t Sum = 0;
    for (std::size_t I = 0; I < WaitHistogram.size(); ++I) {
      Sum += WaitHistogram[I];
      if (Sum * 100 >= Started * 99) {
        Result.P99WaitMs = static_cast<wall_ms>(I) * TickMs;
        break;
      }
    }
    for (const auto Count : Result.Arrived)
      Result.Jobs += Count;
  }

  static constexpr wall_ms DayMs = 86'400'000;

  const workload &Load;
  const faults &Faults;
  plan::buffer_settings Settings;
  move_policy Policy;
  std::mt19937_64 Random;
  std::vector<vm> Vms;
  std::vector<plan::pool_view> PoolViews;
  std::array<std::deque<batch>, QueueCount> WaitingJobs;
  /** Queued work in slot milliseconds, by queue and planning interval. */
  std::vector<std::vector<std::uint64_t>> QueueHistory;
  /** Number of jobs by their wait in ticks. */
  std::array<std::uint64_t, 1'000> WaitHistogram{};
  plan::buffer_state State;
  simulation_result Result;
  std::size_t Tick{0};
  wall_ms Now{0};
};

} // namespace galenalink::bench

#endif
