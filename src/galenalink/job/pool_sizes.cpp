#include "galenalink/job/pool_sizes.hpp"
#include "galenalink/job/callers.hpp"
#include "galenalink/job/pool_plan.hpp"
#include "galenalink/job/vm_orders.hpp"
#include "galenalink/telemetry/log.hpp"
#include <algorithm>
#include <cmath>

namespace galenalink::job {

namespace {

constexpr telemetry::logger Log{"pools"};

/** Work that is due sooner is spread over this time. */
constexpr duration ShortestHorizon = std::chrono::milliseconds{400};
/** Share of a pool's room that packing can use. */
constexpr double Packing = 0.85;
/** From a VM's arrival in a pool until it takes work. */
constexpr duration JoinTime = std::chrono::milliseconds{600};
/** VMs that a pool keeps while its turn is far. */
constexpr std::size_t SmallestPool = 3;
/** Share of its home size that a pool keeps while turns are not known. */
constexpr double KeptWithoutPattern = 0.7;
/** A pool gives VMs back after its surplus has lasted this long. */
constexpr duration SurplusHold = std::chrono::milliseconds{1500};

/** @brief Pool in which a VM is or will be. */
const std::string &poolOf(const leader &Leader, const vm &Vm) {
  const auto Motion = Leader.PendingVmOrders.find(Vm.Name);
  const bool Moves =
      Motion != Leader.PendingVmOrders.end() && !Motion->second.Pool.empty();
  return Moves ? Motion->second.Pool : Vm.Pool;
}

double lastingRoom(const leader &Leader, const std::string &Pool) {
  double Room = 0;
  for (const auto &[Id, Entry] : Leader.OpenJobs) {
    if (Entry->Job.pool() != Pool)
      continue;
    for (const auto &Step : Entry->Job.spec().Steps) {
      if (Step.LongRunning && !Step.BestEffort)
        Room += static_cast<double>(Step.Size.Cpu) * Step.Count;
    }
  }
  return Room;
}

/** @return Room of an average VM. */
double vmRoom(const leader &Leader) {
  double Room = 0;
  for (const auto &[Name, Vm] : Leader.Vms)
    Room += static_cast<double>(Vm.Capacity.Cpu);
  return Leader.Vms.empty() ? 0 : Room / static_cast<double>(Leader.Vms.size());
}

/** @brief Room that accepted jobs need to meet their objectives: the work left
 * of each, spread over its time left. */
double backlogRoom(const leader &Leader, const std::string &Pool) {
  double Room = 0;
  const time_point Now = Leader.Now();
  for (const auto &[Id, Entry] : Leader.OpenJobs) {
    if (Entry->Job.pool() != Pool || Entry->Job.openOccurrences().empty() ||
        Entry->Deferred)
      continue;
    const time_point Objective = Entry->Job.openOccurrences().front().Objective;
    if (Objective <= Now)
      continue;
    const std::chrono::duration<double, std::milli> Left =
        std::max(Objective - Now, ShortestHorizon);
    Room += workLeft(Leader, Entry->Job) / Left.count();
  }
  return Room;
}

double arrivalRate(const leader &Leader, const std::string &Pool) {
  const auto Meter = Leader.Demand.find(Pool);
  return Meter == Leader.Demand.end() ? 0 : Meter->second.rate(Leader.Now());
}

double need(const leader &Leader, const std::string &Pool) {
  const duration Lead = Leader.Settings.MoveTime + JoinTime;
  const double Expected = Leader.Forecast.expected(
      Pool, Leader.Wall(),
      std::chrono::duration_cast<std::chrono::milliseconds>(Lead).count());
  return lastingRoom(Leader, Pool) +
         std::max(
             {arrivalRate(Leader, Pool), backlogRoom(Leader, Pool), Expected}) /
             Packing;
}

/** @brief Lets the forecast see the demand of all pools. */
void observeTurns(leader &Leader) {
  for (const auto &Rule : Leader.Rules.Pools) {
    if (Rule.Standby || !Leader.Demand.contains(Rule.Name))
      continue;
    const auto Home = Leader.InitialSizes.find(Rule.Name);
    const double Vms = Home == Leader.InitialSizes.end()
                           ? 0
                           : static_cast<double>(Home->second);
    if (!Leader.Forecast.observe(Rule.Name, Vms * vmRoom(Leader),
                                 Leader.Wall()))
      continue;
    const bool Begins = Leader.Forecast.active(Rule.Name);
    Log.info("turn of demand",
             {{"pool", Rule.Name},
              {"state", Begins ? "began" : "ended"},
              {"regular", Leader.Forecast.regular() ? "yes" : "no"},
              {"next", Leader.Forecast.nextPool(Leader.Wall())}});
    Leader.Journal.put("t", [&Leader] {
      return std::optional{toRecord(Leader.Forecast.turns())};
    });
  }
}

/** @brief VMs that a pool does not lend: the pool whose turn is next needs all,
 * and without a pattern any pool may be next that has not had its turn. */
std::size_t lendFloor(const leader &Leader, const std::string &Pool,
                      const std::size_t Home) {
  const std::string Next = Leader.Forecast.nextPool(Leader.Wall());
  if (!Next.empty())
    return Next == Pool ? Home : SmallestPool;
  if (Leader.Forecast.waitsForOthers(Pool))
    return SmallestPool;
  return static_cast<std::size_t>(
      std::ceil(static_cast<double>(Home) * KeptWithoutPattern));
}

std::vector<pool_view> viewPools(leader &Leader) {
  std::vector<pool_view> Pools;
  for (const auto &Rule : Leader.Rules.Pools) {
    pool_view View;
    View.Name = Rule.Name;
    View.Standby = Rule.Standby;
    const auto Home = Leader.InitialSizes.find(Rule.Name);
    View.Floor = Home == Leader.InitialSizes.end() ? 0 : Home->second;
    View.LendFloor = lendFloor(Leader, Rule.Name, View.Floor);
    if (!Rule.Standby)
      View.Need = need(Leader, Rule.Name);
    Pools.push_back(std::move(View));
  }
  return Pools;
}

bool movable(const leader &Leader, const vm &Vm) {
  const bool Draining =
      std::ranges::any_of(Leader.Waves, [&](const auto &Each) {
        return Each.second.Draining.contains(Vm.Name);
      });
  return Vm.State == vm_state::Up && !Draining &&
         !Leader.PendingVmOrders.contains(Vm.Name) &&
         !heldBack(Leader, Vm.Name);
}

/** @brief Counts the VMs into the pools and lists those that can be moved. */
std::vector<vm_view> viewVms(leader &Leader, std::vector<pool_view> &Pools) {
  std::vector<vm_view> Views;
  for (const auto &[Name, Vm] : Leader.Vms) {
    const auto Pool =
        std::ranges::find(Pools, poolOf(Leader, Vm), &pool_view::Name);
    if (Pool == Pools.end() || Vm.State == vm_state::Down)
      continue;
    ++Pool->Vms;
    Pool->Room += static_cast<double>(Vm.Capacity.Cpu);
    if (!movable(Leader, Vm))
      continue;
    vm_view View;
    View.Name = Name;
    View.Pool = static_cast<std::size_t>(Pool - Pools.begin());
    View.Room = static_cast<double>(Vm.Capacity.Cpu);
    const server *Server = serverOf(Leader, Name);
    View.Idle = Server != nullptr && Server->Usable && Server->Runs.empty() &&
                !Server->Entry.Draining;
    Views.push_back(std::move(View));
  }
  return Views;
}

void noteSurplus(leader &Leader, std::vector<pool_view> &Pools) {
  for (auto &Pool : Pools) {
    const double VmRoom =
        Pool.Vms == 0 ? 0 : Pool.Room / static_cast<double>(Pool.Vms);
    time_point &Since = Leader.SurplusSince[Pool.Name];
    if (Pool.Vms == 0 || !hasSurplus(Pool, VmRoom))
      Since = Leader.Now();
    Pool.LongSurplus = Leader.Now() >= Since + SurplusHold;
  }
}

/** @brief Notes how many VMs each pool had before anything was moved. */
void noteHomes(leader &Leader) {
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
  noteHomes(Leader);
  observeTurns(Leader);
  auto Pools = viewPools(Leader);
  auto Vms = viewVms(Leader, Pools);
  noteSurplus(Leader, Pools);
  for (const auto &Move : planMoves(Pools, Vms)) {
    const auto To = std::ranges::find(Pools, Move.To, &pool_view::Name);
    Log.info("move ordered",
             {{"vm", Move.Vm},
              {"to", Move.To},
              {"need", std::to_string(static_cast<std::int64_t>(To->Need))},
              {"room", std::to_string(static_cast<std::int64_t>(To->Room))}});
    orderVm(Leader, Move.Vm, Move.To, 0);
  }
}

} // namespace galenalink::job
