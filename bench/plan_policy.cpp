// Compares the planner of maintenance and buffer VMs with a static reserve per
// pool and with a policy that follows demand at once, in virtual time. Rows
// with a target end in PASS or FAIL; the exit status is 1 if any row failed.
#include "plan_driver.hpp"
#include "plan_maintenance.hpp"
#include <cstdio>
#include <string>

using namespace galenalink;
using namespace galenalink::bench;

namespace {

/** Share of jobs that may miss their deadline with the static reserve. */
constexpr double MaxMissShare = 0.001;

constexpr std::array<faults, 5> Scenarios{{
    {"none"},
    {"vm-failures", 6},
    {"rack-lost-mid-wave", 0, true},
    {"lagging-list-and-demand", 0, false, 10'000, 3'000},
    {"all", 6, true, 10'000, 3'000},
}};

constexpr std::array<std::uint64_t, 5> Seeds{11, 22, 33, 44, 55};

/** Spare VMs that each customer owns for its five pools. */
constexpr std::array<std::uint32_t, CustomerCount> Spares{13, 14};

bool Failed = false;

const char *recordVerdict(const bool Pass) {
  Failed |= !Pass;
  return Pass ? "PASS" : "FAIL";
}

/**
 * @brief Baseline that moves VMs at once whenever the demand of a pool differs
 * from its capacity.
 */
plan::buffer_plan followDemand(const plan::buffer_input &Input, wall_ms) {
  plan::buffer_plan Plan;
  const auto Headrooms = plan::computeHeadroom(Input.Vms, Input.Pools);
  std::vector<std::int64_t> Excess(Input.Pools.size());
  std::vector<std::int64_t> VmCounts(Input.Pools.size());
  std::vector<std::int64_t> Removable(Input.Pools.size());
  for (std::size_t I = 0; I < Input.Pools.size(); ++I) {
    Removable[I] =
        Input.Pools[I].Spare ? Headrooms[I].Up : Headrooms[I].Removable;
    Excess[I] = Input.Pools[I].Spare
                    ? 0
                    : -static_cast<std::int64_t>(
                          plan::retainedVms(Input.Demand[I], Input.Settings));
  }
  for (const auto &Vm : Input.Vms) {
    const auto Pool = Vm.Motion == plan::move_phase::None ? Vm.Pool : Vm.To;
    ++VmCounts[Pool];
    const bool Up = Vm.isUp() || (Vm.Motion != plan::move_phase::None &&
                                  Vm.State == plan::vm_state::Up);
    Excess[Pool] += Up ? 1 : 0;
  }
  std::vector<bool> Moved(Input.Vms.size());
  const auto TryMove = [&](const plan::pool_index From,
                           const plan::pool_index To,
                           const plan::move_reason Reason) {
    const auto &Pool = Input.Pools[From];
    if (Removable[From] == 0 ||
        (!Pool.Spare && VmCounts[From] <= Pool.InitialVms))
      return false;
    for (plan::vm_index I = 0; I < Input.Vms.size(); ++I) {
      const auto &Vm = Input.Vms[I];
      if (Vm.Pool != From || !Vm.isUp() || Moved[I] || Vm.HoldUntilMs != 0)
        continue;
      Moved[I] = true;
      --Removable[From], --VmCounts[From], --Excess[From];
      ++VmCounts[To], ++Excess[To];
      Plan.Moves.push_back({I, Vm.Epoch, To, Reason, 0});
      return true;
    }
    return false;
  };
  for (plan::pool_index To = 0; To < QueueCount; ++To) {
    const auto Customer = Input.Pools[To].Customer;
    const auto Spare = static_cast<plan::pool_index>(QueueCount + Customer);
    bool Found = true;
    while (Excess[To] < 0 && Found) {
      Found = TryMove(Spare, To, plan::move_reason::Peak);
      for (plan::pool_index From = 0; From < QueueCount && !Found; ++From)
        Found = Input.Pools[From].Customer == Customer && Excess[From] > 0 &&
                TryMove(From, To, plan::move_reason::Peak);
    }
  }
  for (plan::pool_index From = 0; From < QueueCount; ++From) {
    const auto Spare =
        static_cast<plan::pool_index>(QueueCount + Input.Pools[From].Customer);
    while (Excess[From] > 0 &&
           TryMove(From, Spare, plan::move_reason::Return)) {
    }
  }
  return Plan;
}

/**
 * @brief Finds the smallest static reserve with which each pool keeps its
 * deadline misses within `MaxMissShare`.
 */
buffer_sizing sizeStatic(const workload &Load, const faults &Faults,
                         const std::uint64_t Seed) {
  buffer_sizing Sizing;
  while (true) {
    const auto Result = driver{Load, Faults, Sizing, Seed, {}}.run();
    bool Met = true;
    for (std::size_t I = 0; I < QueueCount; ++I) {
      const auto Allowed =
          MaxMissShare * static_cast<double>(Result.Arrived[I]);
      if (static_cast<double>(Result.Missed[I]) > Allowed) {
        ++Sizing.Reserve[I];
        Met = false;
      }
    }
    if (Met)
      return Sizing;
  }
}

void printRun(const char *Policy, const simulation_result &Result,
              const buffer_sizing &Sizing) {
  std::printf("  %-8s buffer %6.1f VM-h  roll-out %5.1f min (%.2fx)  moves "
              "%6llu  p99 short wait %5lld ms  missed %7llu of %llu  lent %llu"
              "  breach %lld ms\n",
              Policy, Sizing.total() * static_cast<double>(SimulatedMs) / 3.6e6,
              static_cast<double>(Result.RolloutMs) / 6e4,
              static_cast<double>(Result.RolloutMs) /
                  static_cast<double>(Result.RolloutBoundMs),
              static_cast<unsigned long long>(Result.Moves),
              static_cast<long long>(Result.P99WaitMs),
              static_cast<unsigned long long>(Result.totalMissed()),
              static_cast<unsigned long long>(Result.Jobs),
              static_cast<unsigned long long>(Result.Lent),
              static_cast<long long>(Result.BudgetBreachMs));
}

void compare(const faults &Faults, const std::uint64_t Seed) {
  const workload Load{Seed};
  const auto Reserve = sizeStatic(Load, Faults, Seed);
  const buffer_sizing Shared{{}, Spares};
  const auto Static = driver{Load, Faults, Reserve, Seed, {}}.run();
  const auto Follow = driver{Load, Faults, Shared, Seed, followDemand}.run();
  const auto Planned =
      driver{Load, Faults, Shared, Seed, plan::planBuffer}.run();
  std::printf("faults %s, seed %llu\n", Faults.Name,
              static_cast<unsigned long long>(Seed));
  printRun("static", Static, Reserve);
  printRun("follow", Follow, Shared);
  printRun("planner", Planned, Shared);
  const auto Cost = static_cast<double>(Shared.total()) / Reserve.total();
  const auto Moves =
      static_cast<double>(Planned.Moves) /
      static_cast<double>(std::max<std::uint64_t>(Follow.Moves, 1));
  const auto Rollout = static_cast<double>(Planned.RolloutMs) /
                       static_cast<double>(Planned.RolloutBoundMs);
  std::printf("  budget breaches by planned actions: %lld ms (target 0)  %s\n",
              static_cast<long long>(Planned.BudgetBreachMs),
              recordVerdict(Planned.BudgetBreachMs == 0));
  std::printf("  roll-out / lower bound: %.2f (target 1.25), VMs not "
              "maintained: %u (target 0)  %s\n",
              Rollout, Planned.NotMaintained,
              recordVerdict(Rollout <= 1.25 && Planned.NotMaintained == 0 &&
                            Planned.RolloutBoundMs > 0));
  std::printf("  buffer / static: %.2f (target 0.5), misses %llu against "
              "%llu (target no more), moves / follow: %.2f (target 0.5)  %s\n",
              Cost, static_cast<unsigned long long>(Planned.totalMissed()),
              static_cast<unsigned long long>(Static.totalMissed()), Moves,
              recordVerdict(Cost <= 0.5 &&
                            Planned.totalMissed() <= Static.totalMissed() &&
                            Moves <= 0.5));
}

/** @brief Checks maintenance over four periods of 49 days. */
void checkMaintenancePeriods(const std::uint64_t Seed) {
  const auto Result = simulateMaintenance(Seed);
  std::printf("200 days, seed %llu: %u maintained, longest interval %.1f days, "
              "%u stuck, breach %lld ms; late without own fault: %u (target "
              "0)  %s\n",
              static_cast<unsigned long long>(Seed), Result.Maintained,
              static_cast<double>(Result.LongestIntervalMs) / 86.4e6,
              Result.Stuck, static_cast<long long>(Result.BudgetBreachMs),
              Result.Late,
              recordVerdict(Result.Late == 0 && Result.BudgetBreachMs == 0 &&
                            Result.Maintained > 0));
}

/**
 * @brief Prints the trade-off between the number of spare VMs and the share of
 * the permitted wait that the planner uses up.
 */
void printTradeOffTable() {
  const workload Load{Seeds[0]};
  const auto &Faults = Scenarios[0];
  const auto Reserve = sizeStatic(Load, Faults, Seeds[0]);
  const auto Static = driver{Load, Faults, Reserve, Seeds[0], {}}.run();
  std::printf("trade-off, no faults, seed %llu; static: %u VMs, %llu missed\n",
              static_cast<unsigned long long>(Seeds[0]), Reserve.total(),
              static_cast<unsigned long long>(Static.totalMissed()));
  std::printf("  %-7s %-6s %-8s %-8s %-9s %-8s %s\n", "spares", "wait%",
              "buffer", "missed", "moves", "p99 ms", "roll-out");
  for (const std::uint32_t SparesPerCustomer : {6, 8, 10, 12, 13, 14, 16}) {
    for (const std::uint32_t Wait : {25, 60, 90}) {
      const buffer_sizing Sizing{{}, {SparesPerCustomer, SparesPerCustomer}};
      plan::buffer_settings Settings;
      Settings.WaitPercent = Wait;
      const auto Result =
          driver{Load, Faults, Sizing, Seeds[0], plan::planBuffer, Settings}
              .run();
      std::printf("  %-7u %-6u %-8.2f %-8llu %-9llu %-8lld %.2fx\n",
                  2 * SparesPerCustomer, Wait,
                  2.0 * SparesPerCustomer / Reserve.total(),
                  static_cast<unsigned long long>(Result.totalMissed()),
                  static_cast<unsigned long long>(Result.Moves),
                  static_cast<long long>(Result.P99WaitMs),
                  static_cast<double>(Result.RolloutMs) /
                      static_cast<double>(Result.RolloutBoundMs));
    }
  }
}

} // namespace

int main(const int Count, const char *const *Arguments) {
  // The optional argument selects a scenario by name, "periods" or "table".
  const std::string Selected = Count > 1 ? Arguments[1] : "";
  for (const auto &Faults : Scenarios) {
    if (!Selected.empty() && Selected != Faults.Name)
      continue;
    for (const auto Seed : Seeds)
      compare(Faults, Seed);
  }
  for (const auto Seed : Seeds) {
    if (Selected.empty() || Selected == "periods")
      checkMaintenancePeriods(Seed);
  }
  if (Selected.empty() || Selected == "table")
    printTradeOffTable();
  return Failed ? 1 : 0;
}
