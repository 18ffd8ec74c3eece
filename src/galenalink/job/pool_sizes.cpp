#include "galenalink/job/pool_sizes.hpp"
#include "galenalink/job/callers.hpp"
#include "galenalink/job/pool_load.hpp"
#include "galenalink/job/pool_plan.hpp"
#include "galenalink/job/vm_orders.hpp"
#include "galenalink/telemetry/log.hpp"
#include <algorithm>
#include <cmath>

namespace galenalink::job {

namespace {

constexpr telemetry::logger Log{"pools"};

/** Work with less time until its objective is spread over this time. */
constexpr duration MinHorizon = std::chrono::milliseconds{400};
/** Share of a pool's capacity that tasks can use; bin packing wastes the rest.
 */
constexpr double PackingEfficiency = 0.85;
/** From the arrival of a VM in a pool until it accepts work. */
constexpr duration VmJoinTime = std::chrono::milliseconds{600};
/** VMs that a pool keeps while its own peak is not the next one. */
constexpr std::size_t MinPoolVms = 3;
/** Share of its initial size that a pool keeps while peaks are not predictable.
 */
constexpr double KeptShareWithoutForecast = 0.7;
/** Duration of a surplus after which a pool returns VMs. */
constexpr duration SurplusHoldTime = std::chrono::milliseconds{1500};

/** @brief Pool that a VM is in or is moving to. */
const std::string &targetPool(const leader &Leader, const vm &Vm) {
  const auto PendingOrder = Leader.PendingVmOrders.find(Vm.Name);
  const bool IsMoving = PendingOrder != Leader.PendingVmOrders.end() &&
                        !PendingOrder->second.Pool.empty();
  return IsMoving ? PendingOrder->second.Pool : Vm.Pool;
}

double longRunningCapacity(const leader &Leader, const std::string &Pool) {
  double Capacity = 0;
  for (const auto &[Id, Entry] : Leader.OpenJobs.active()) {
    if (Entry->Job.pool() != Pool)
      continue;
    for (const auto &Step : Entry->Job.spec().Steps) {
      if (Step.LongRunning && !Step.BestEffort)
        Capacity += static_cast<double>(Step.Size.Cpu) * Step.Count;
    }
  }
  return Capacity;
}

/** @return Mean capacity of all VMs, thousandths of a core. */
double averageVmCapacity(const leader &Leader) {
  double Capacity = 0;
  for (const auto &[Name, Vm] : Leader.Vms)
    Capacity += static_cast<double>(Vm.Capacity.Cpu);
  return Leader.Vms.empty() ? 0
                            : Capacity / static_cast<double>(Leader.Vms.size());
}

/** @brief Capacity that accepted jobs need to meet their objectives: the
 * remaining work of each, spread over the time until its objective. */
double backlogCapacity(const leader &Leader, const std::string &Pool) {
  double Capacity = 0;
  const time_point Now = Leader.Now();
  for (const auto &[Id, Entry] : Leader.OpenJobs.active()) {
    if (Entry->Job.pool() != Pool || Entry->Job.openOccurrences().empty() ||
        Entry->Deferred)
      continue;
    const time_point Objective = Entry->Job.openOccurrences().front().Objective;
    if (Objective <= Now)
      continue;
    const std::chrono::duration<double, std::milli> UntilObjective =
        std::max(Objective - Now, MinHorizon);
    Capacity += remainingWork(Leader, Entry->Job) / UntilObjective.count();
  }
  return Capacity;
}

double arrivalRate(const leader &Leader, const std::string &Pool) {
  const auto Meter = Leader.Demand.find(Pool);
  return Meter == Leader.Demand.end() ? 0 : Meter->second.rate(Leader.Now());
}

double requiredCapacity(const leader &Leader, const std::string &Pool) {
  const duration LeadTime = Leader.Settings.MoveTime + VmJoinTime;
  const double Expected = Leader.Forecast.expectedRate(
      Pool, Leader.Wall(),
      std::chrono::duration_cast<std::chrono::milliseconds>(LeadTime).count());
  return longRunningCapacity(Leader, Pool) +
         std::max({arrivalRate(Leader, Pool), backlogCapacity(Leader, Pool),
                   Expected}) /
             PackingEfficiency;
}

/** @brief Updates the forecast with the demand of all pools. */
void observeDemand(leader &Leader) {
  for (const auto &Rule : Leader.Rules.Pools) {
    if (Rule.Standby || !Leader.Demand.contains(Rule.Name))
      continue;
    const auto InitialSize = Leader.InitialSizes.find(Rule.Name);
    const double Vms = InitialSize == Leader.InitialSizes.end()
                           ? 0
                           : static_cast<double>(InitialSize->second);
    if (!Leader.Forecast.observe(Rule.Name, Vms * averageVmCapacity(Leader),
                                 Leader.Wall()))
      continue;
    const bool Started = Leader.Forecast.inPeak(Rule.Name);
    Log.info("demand peak",
             {{"pool", Rule.Name},
              {"state", Started ? "began" : "ended"},
              {"regular", Leader.Forecast.isPeriodic() ? "yes" : "no"},
              {"next", Leader.Forecast.nextPool(Leader.Wall())}});
    Leader.Journal.put("t", [&Leader] {
      return std::optional{toRecord(Leader.Forecast.peaks())};
    });
  }
}

/** @brief Number of VMs below which a pool lends none. The pool that peaks next
 * keeps its initial size. Without a forecast, any pool that has not peaked yet
 * may be next. */
std::size_t minVmsWhenLending(const leader &Leader, const std::string &Pool,
                              const std::size_t InitialSize) {
  const std::string Next = Leader.Forecast.nextPool(Leader.Wall());
  if (!Next.empty())
    return Next == Pool ? InitialSize : MinPoolVms;
  if (Leader.Forecast.peakedInFirstCycle(Pool))
    return MinPoolVms;
  return static_cast<std::size_t>(
      std::ceil(static_cast<double>(InitialSize) * KeptShareWithoutForecast));
}

std::vector<pool_view> buildPoolViews(leader &Leader) {
  std::vector<pool_view> Pools;
  for (const auto &Rule : Leader.Rules.Pools) {
    pool_view View;
    View.Name = Rule.Name;
    View.Standby = Rule.Standby;
    const auto InitialSize = Leader.InitialSizes.find(Rule.Name);
    View.MinVms =
        InitialSize == Leader.InitialSizes.end() ? 0 : InitialSize->second;
    View.MinVmsWhenLending = minVmsWhenLending(Leader, Rule.Name, View.MinVms);
    if (!Rule.Standby)
      View.RequiredCapacity = requiredCapacity(Leader, Rule.Name);
    Pools.push_back(std::move(View));
  }
  return Pools;
}

bool isMovable(const leader &Leader, const vm &Vm) {
  const bool Draining =
      std::ranges::any_of(Leader.Waves, [&](const auto &Each) {
        return Each.second.Draining.contains(Vm.Name);
      });
  return Vm.State == vm_state::Up && !Draining &&
         !Leader.PendingVmOrders.contains(Vm.Name) &&
         !orderGapPending(Leader, Vm.Name);
}

/** @brief Adds the VMs to the totals of their pools.
 * @return The VMs that can be moved. */
std::vector<vm_view> buildVmViews(leader &Leader,
                                  std::vector<pool_view> &Pools) {
  std::vector<vm_view> Views;
  for (const auto &[Name, Vm] : Leader.Vms) {
    const auto Pool =
        std::ranges::find(Pools, targetPool(Leader, Vm), &pool_view::Name);
    if (Pool == Pools.end() || Vm.State == vm_state::Down)
      continue;
    ++Pool->VmCount;
    Pool->Capacity += static_cast<double>(Vm.Capacity.Cpu);
    if (!isMovable(Leader, Vm))
      continue;
    vm_view View;
    View.Name = Name;
    View.Pool = static_cast<std::size_t>(Pool - Pools.begin());
    View.Capacity = static_cast<double>(Vm.Capacity.Cpu);
    const server *Server = serverOnVm(Leader, Name);
    View.Idle = Server != nullptr && Server->Synced && Server->Runs.empty() &&
                !Server->Entry.Draining;
    Views.push_back(std::move(View));
  }
  return Views;
}

void updateSurplus(leader &Leader, std::vector<pool_view> &Pools) {
  for (auto &Pool : Pools) {
    const double VmCapacity =
        Pool.VmCount == 0 ? 0
                          : Pool.Capacity / static_cast<double>(Pool.VmCount);
    time_point &Since = Leader.SurplusSince[Pool.Name];
    if (Pool.VmCount == 0 || !canSpareVm(Pool, VmCapacity))
      Since = Leader.Now();
    Pool.SustainedSurplus = Leader.Now() >= Since + SurplusHoldTime;
  }
}

/** @brief Records the size of each pool before the first move. */
void recordInitialSizes(leader &Leader) {
  if (!Leader.InitialSizes.empty() || Leader.Vms.empty())
    return;
  for (const auto &[Name, Vm] : Leader.Vms)
    ++Leader.InitialSizes[Vm.Pool];
  Leader.Journal.put("h", [&Leader]() -> std::optional<std::string> {
    return toRecord(Leader.InitialSizes);
  });
}

} // namespace

void resizePools(leader &Leader) {
  if (!mayOrderVms(Leader))
    return;
  recordInitialSizes(Leader);
  observeDemand(Leader);
  auto Pools = buildPoolViews(Leader);
  auto Vms = buildVmViews(Leader, Pools);
  updateSurplus(Leader, Pools);
  for (const auto &Move : planMoves(Pools, Vms)) {
    const auto To = std::ranges::find(Pools, Move.To, &pool_view::Name);
    Log.info(
        "move ordered",
        {{"vm", Move.Vm},
         {"to", Move.To},
         {"need",
          std::to_string(static_cast<std::int64_t>(To->RequiredCapacity))},
         {"room", std::to_string(static_cast<std::int64_t>(To->Capacity))}});
    orderVm(Leader, Move.Vm, Move.To, 0);
  }
}

} // namespace galenalink::job
