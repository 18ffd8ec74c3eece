#include "galenalink/node/planner.hpp"
#include "galenalink/core/random.hpp"
#include "galenalink/node/duty.hpp"
#include "galenalink/telemetry/log.hpp"
#include "records.pb.h"
#include <algorithm>

namespace galenalink::node {

namespace {

constexpr telemetry::logger Logger{"planner"};

constexpr duration AppendLimit = std::chrono::seconds{2};
constexpr wall_ms DayMs = 86'400'000;
/** VMs are maintained in the last tenth of their period, so that a wave may
 * wait for a window or for VMs that failed. */
constexpr wall_ms LeadShare = 10;

/** @brief Gives each name a position in the order of its first use. */
class positions {
public:
  [[nodiscard]] std::uint32_t of(const std::string &Name) {
    return Known.try_emplace(Name, static_cast<std::uint32_t>(Known.size()))
        .first->second;
  }

private:
  std::map<std::string, std::uint32_t> Known;
};

[[nodiscard]] plan::vm_state toPlan(const fleet::vm_condition Condition) {
  switch (Condition) {
  case fleet::vm_condition::Up:
    return plan::vm_state::Up;
  case fleet::vm_condition::Down:
    return plan::vm_state::Down;
  case fleet::vm_condition::Leaving:
    return plan::vm_state::Leaving;
  case fleet::vm_condition::Unknown:
    break;
  }
  return plan::vm_state::Unknown;
}

/** @brief The two enumerations name the same states in the same order. */
[[nodiscard]] plan::move_phase toPlan(const fleet::vm_motion Motion) {
  return static_cast<plan::move_phase>(Motion);
}

[[nodiscard]] plan::maintenance
toPlan(const fleet::vm_maintenance Maintenance) {
  return static_cast<plan::maintenance>(Maintenance);
}

[[nodiscard]] const config::service_file *fileOf(const fleet::state &State,
                                                 const fleet::pool &Pool) {
  const auto Document = State.Config.Documents.find(Pool.Document);
  return Document == State.Config.Documents.end() ? nullptr
                                                  : Document->second.File.get();
}

void setMaintenance(const config::service_file &File, plan::pool_view &Pool) {
  if (!File.Maintenance)
    return;
  Pool.PeriodMs = DayMs * File.Maintenance->PeriodDays;
  Pool.LeadMs = Pool.PeriodMs / LeadShare;
  for (const auto &Window : File.Maintenance->Windows)
    Pool.Windows.push_back({Window.FromHour, Window.ToHour});
}

/** @brief Shortest deadline of short work on a pool. */
[[nodiscard]] wall_ms slackOf(const fleet::state &State,
                              const std::string &Pool) {
  wall_ms Slack = plan::pool_demand{}.SlackMs;
  for (const auto &[Unused, Document] : State.Config.Documents) {
    if (!Document.File)
      continue;
    for (const auto &Service : Document.File->Services) {
      for (const auto &Queue : Service.Queues) {
        if (Service.Pool == Pool && Queue.Kind == config::work_kind::Short)
          Slack = std::min<wall_ms>(Slack, Queue.TimeoutMs);
      }
    }
  }
  return Slack;
}

} // namespace

plan_input makePlanInput(
    const fleet::state &State, const demand_table &Demand, const wall_ms Now,
    const std::function<std::uint32_t(const std::string &)> &InitialVms) {
  plan_input Input;
  positions Customers;
  positions DataCentres;
  positions Racks;
  std::map<fleet::pool_index, std::uint32_t> PoolPosition;
  const wall_ms Oldest = Now - plan::buffer_settings{}.MaxDemandAgeMs;
  const auto &Pools = State.Vms.pools();
  for (std::size_t Index = 0; Index < Pools.size(); ++Index) {
    const auto &Pool = Pools[Index];
    const auto *File = fileOf(State, Pool);
    if (!Pool.configured() || File == nullptr)
      continue;
    const auto PoolIndex = static_cast<fleet::pool_index>(Index);
    PoolPosition[PoolIndex] = static_cast<std::uint32_t>(Input.Pools.size());
    Input.PoolIndex.push_back(PoolIndex);
    auto &View = Input.Pools.emplace_back();
    View.Customer = Customers.of(Pool.Customer);
    View.MinUp = Pool.Budget;
    View.Spare = Pool.Spare;
    View.InitialVms = InitialVms(Pool.Name);
    setMaintenance(*File, View);
    Input.Demand.push_back(Demand.of(Pool.Name, Oldest));
    Input.Demand.back().SlackMs = slackOf(State, Pool.Name);
  }
  for (const auto &[Pair, Count] : State.Config.Lending)
    Input.Quotas.push_back(
        {Customers.of(Pair.first), Customers.of(Pair.second), Count});
  for (std::size_t Slot = 0; Slot < State.Vms.slots(); ++Slot) {
    const auto Index = static_cast<fleet::vm_index>(Slot);
    if (!State.Vms.used(Index))
      continue;
    const auto &Vm = State.Vms.at(Index);
    const auto Pool = PoolPosition.find(Vm.Pool);
    if (Pool == PoolPosition.end())
      continue;
    const auto To = PoolPosition.find(Vm.ToPool);
    auto &View = Input.Vms.emplace_back();
    Input.VmIndex.push_back(Index);
    View.Owner = Customers.of(Vm.Customer);
    View.Pool = Pool->second;
    View.DataCentre = DataCentres.of(Vm.DataCentre);
    View.Rack = Racks.of(Vm.DataCentre + "/" + Vm.Rack);
    View.Epoch = Vm.Epoch;
    View.State = toPlan(Vm.Condition);
    View.StateSinceMs = Vm.ConditionSince;
    View.Motion = toPlan(Vm.Motion);
    View.To = To == PoolPosition.end() ? Pool->second : To->second;
    View.PoolSinceMs = Vm.OwnedSince;
    View.Maintenance = toPlan(Vm.Maintenance);
    View.MaintainedMs = Vm.MaintainedAt;
  }
  return Input;
}

planner::planner(const fleet::node_view &View, log_follower &Log,
                 std::function<std::uint32_t(const std::string &)> InitialVms,
                 std::function<void(std::string_view, std::string)> Decided)
    : View{View}, Log{Log},
      InitialVms{std::move(InitialVms)}, Decided{std::move(Decided)} {}

void planner::tick(const time_point Now) {
  const wall_ms Wall = std::max(wallNow(), View.State.LogTime);
  Demand.expire(Wall - 10 * Settings.MaxDemandAgeMs);
  // Records under way are not in the state yet and would be planned again.
  if (Appending > 0 || !onDuty(View, "plan", Now))
    return;
  auto Input = makePlanInput(View.State, Demand, Wall, InitialVms);
  planMaintenance(Input, Wall);
  if (Appending == 0)
    planBuffer(Input, Wall);
}

void planner::planMaintenance(plan_input &Input, const wall_ms Now) {
  for (std::size_t At = 0; At < Input.Pools.size(); ++At) {
    const auto Wave = WaveSince.find(Input.PoolIndex[At]);
    if (Wave != WaveSince.end())
      Input.Pools[At].WaveSinceMs = Wave->second;
  }
  const auto Plan = plan::planMaintenance(Input.Vms, Input.Pools, Now);
  WaveSince.clear();
  for (std::size_t At = 0; At < Plan.Pools.size(); ++At) {
    if (Plan.Pools[At].WaveSinceMs)
      WaveSince[Input.PoolIndex[At]] = *Plan.Pools[At].WaveSinceMs;
  }
  for (const auto &Permit : Plan.Permits) {
    const auto &Vm = View.State.Vms.at(Input.VmIndex[Permit.Vm]);
    wire::record Record;
    auto &Out = *Record.mutable_permit();
    Out.set_vm(Vm.Name);
    Out.set_epoch(Permit.Epoch);
    Out.set_action(randomId());
    append(std::move(Record), Vm.Name, "The VM is due for maintenance.");
  }
}

void planner::planBuffer(const plan_input &Input, const wall_ms Now) {
  plan::buffer_input Buffer{Input.Vms,    Input.Pools, Input.Demand,
                            Input.Quotas, Settings,    {}};
  for (const auto Pool : Input.PoolIndex) {
    const auto Since = SurplusSince.find(Pool);
    Buffer.State.SurplusSinceMs.push_back(Since == SurplusSince.end()
                                              ? std::nullopt
                                              : std::optional{Since->second});
  }
  const auto Plan = plan::planBuffer(Buffer, Now);
  SurplusSince.clear();
  for (std::size_t At = 0; At < Plan.State.SurplusSinceMs.size(); ++At) {
    if (Plan.State.SurplusSinceMs[At])
      SurplusSince[Input.PoolIndex[At]] = *Plan.State.SurplusSinceMs[At];
  }
  for (const auto &Move : Plan.Moves) {
    const auto &Vm = View.State.Vms.at(Input.VmIndex[Move.Vm]);
    const auto &To = View.State.Vms.poolAt(Input.PoolIndex[Move.To]);
    const std::string Reason{nameOf(plan::MoveReasonNames, Move.Reason)};
    wire::record Record;
    auto &Out = *Record.mutable_release();
    Out.set_vm(Vm.Name);
    Out.set_epoch(Move.Epoch);
    Out.set_to_pool(To.Name);
    Out.set_reason("planner:" + Reason);
    append(std::move(Record), Vm.Name,
           "The VM moves to pool " + To.Name + " (" + Reason + ").");
  }
}

void planner::append(wire::record Record, const std::string &Vm,
                     std::string Text) {
  ++Appending;
  Logger.info(Text, {{"vm", Vm}});
  Decided(Vm, std::move(Text));
  Record.set_writer(static_cast<std::uint64_t>(View.Self));
  Log.append(std::move(Record), boot_clock::now() + AppendLimit,
             [this](const append_outcome & /*Outcome*/) { --Appending; });
}

} // namespace galenalink::node
