#include "galenalink/node/operator_views.hpp"
#include <nlohmann/json.hpp>

namespace galenalink::node {

namespace {

using json = nlohmann::ordered_json;

[[nodiscard]] std::string dump(const json &Json) {
  return Json.dump(-1, ' ', false, json::error_handler_t::replace) + '\n';
}

[[nodiscard]] json poolOf(const fleet::pool &Pool) {
  const auto &Counts = Pool.Counts;
  return {{"pool", Pool.Name},
          {"member", Pool.Customer},
          {"spare", Pool.Spare},
          {"shards", Pool.Shards},
          {"vms", Counts.Vms},
          {"usable", Counts.Usable},
          {"min_up", Pool.Budget},
          {"room", static_cast<std::int64_t>(Counts.Usable) -
                       static_cast<std::int64_t>(Pool.Budget)},
          {"in_motion", Counts.InMotion},
          {"in_maintenance", Counts.InMaintenance},
          {"stuck", Counts.Stuck}};
}

[[nodiscard]] std::string nodeName(const fleet::state &State,
                                   const node_id Node) {
  const auto *Info = State.Roster.find(Node);
  return Info == nullptr ? "?" : Info->Name;
}

} // namespace

std::string statusView(incarnation &Node) {
  const auto &View = Node.view();
  const auto &State = View.State;
  const auto Now = boot_clock::now();
  json Nodes = json::array();
  for (const auto &Info : State.Roster.nodes())
    Nodes.push_back(
        {{"node", Info->Name},
         {"place", Info->DataCentre},
         {"member", Info->Customer},
         {"suspected",
          Info->Id != View.Self && View.Authority.suspects(Info->Id, Now)}});
  json Short = json::array();
  json Stuck = json::array();
  for (const auto &Pool : State.Vms.pools()) {
    if (Pool.configured() && Pool.Counts.Usable < Pool.Budget)
      Short.push_back(Pool.Name);
  }
  std::size_t InMotion = 0;
  for (std::size_t Slot = 0; Slot < State.Vms.slots(); ++Slot) {
    const auto Index = static_cast<fleet::vm_index>(Slot);
    if (!State.Vms.used(Index))
      continue;
    const auto &Vm = State.Vms.at(Index);
    InMotion += Vm.Motion == fleet::vm_motion::None ? 0 : 1;
    if (Vm.Maintenance == fleet::vm_maintenance::Stuck)
      Stuck.push_back(Vm.Name);
  }
  return dump({{"node", nodeName(State, View.Self)},
               {"authority", View.Authority.holds(Now)},
               {"log_available", Node.log().available()},
               {"offset", State.Offset},
               {"log_lag", Node.log().end() > State.Offset
                               ? Node.log().end() - State.Offset - 1
                               : 0},
               {"config_version", State.Config.Version},
               {"snapshot_through", State.Snapshot.Through},
               {"log_first", Node.log().first()},
               {"rejected_records", State.Rejected},
               {"homes", Node.host().shards().size()},
               {"takeovers", Node.host().takeovers()},
               {"running", Node.host().running()},
               {"waiting", Node.router().pending()},
               {"vms", State.Vms.size()},
               {"vms_in_motion", InMotion},
               {"stuck_vms", Stuck},
               {"pools_below_budget", Short},
               {"nodes", Nodes}});
}

std::string poolsView(const incarnation &Node) {
  json Pools = json::array();
  for (const auto &Pool : Node.view().State.Vms.pools()) {
    if (Pool.configured())
      Pools.push_back(poolOf(Pool));
  }
  return dump({{"pools", Pools}});
}

std::string vmsView(const incarnation &Node) {
  const auto &State = Node.view().State;
  json Vms = json::array();
  for (std::size_t Slot = 0; Slot < State.Vms.slots(); ++Slot) {
    const auto Index = static_cast<fleet::vm_index>(Slot);
    if (!State.Vms.used(Index))
      continue;
    const auto &Vm = State.Vms.at(Index);
    const auto &Pool = State.Vms.poolAt(Vm.Pool);
    const auto *Seats = Node.view().Shards.find(Vm.Pool, Vm.Shard);
    const bool HasHome = Seats != nullptr && Seats->Home.has_value();
    Vms.push_back(
        {{"vm", Vm.Name},
         {"member", Vm.Customer},
         {"pool", Pool.Name},
         {"shard", Vm.Shard},
         {"place", Vm.DataCentre},
         {"rack", Vm.Rack},
         {"epoch", Vm.Epoch},
         {"condition", nameOf(fleet::VmConditionNames, Vm.Condition)},
         {"motion", nameOf(fleet::VmMotionNames, Vm.Motion)},
         {"to_pool", Vm.Motion == fleet::vm_motion::None
                         ? ""
                         : State.Vms.poolAt(Vm.ToPool).Name},
         {"maintenance", nameOf(fleet::VmMaintenanceNames, Vm.Maintenance)},
         {"maintained_at_ms", Vm.MaintainedAt},
         {"home", HasHome ? nodeName(State, Seats->Home->Node) : ""}});
  }
  return dump({{"vms", Vms}});
}

std::string queuesView(incarnation &Node) {
  json Queues = json::array();
  for (const auto &[Id, Shard] : Node.host().shards()) {
    for (const auto &Queue : Shard->queueStates())
      Queues.push_back(
          {{"shard", toString(Id)},
           {"queue", Queue.Name},
           {"waiting", Queue.Waiting},
           {"class", nameOf(schedule::WorkClassNames, Queue.Class)},
           {"median_run_ms",
            std::chrono::duration_cast<std::chrono::milliseconds>(
                Queue.MedianRun)
                .count()}});
  }
  return dump({{"queues", Queues}});
}

std::string documentsView(const incarnation &Node) {
  const auto &Config = Node.view().State.Config;
  json Documents = json::array();
  for (const auto &[Name, Document] : Config.Documents) {
    if (Document.File)
      Documents.push_back({{"name", Name},
                           {"version", Document.Version},
                           {"author", Document.Author},
                           {"text", Document.Text}});
  }
  return dump({{"version", Config.Version}, {"documents", Documents}});
}

std::string explanationView(const std::vector<decision> &Decisions) {
  json Lines = json::array();
  for (const auto &Decision : Decisions)
    Lines.push_back({{"at_ms", Decision.At}, {"text", Decision.Text}});
  return dump({{"decisions", Lines}});
}

std::string appendView(const std::uint64_t Id, const append_outcome &Outcome) {
  json Result{{"id", std::to_string(Id)}};
  const auto &Applied = Outcome.Applied;
  if (Outcome.End != append_end::Folded) {
    Result["result"] = nameOf(AppendEndNames, Outcome.End);
    return dump(Result);
  }
  Result["result"] = Applied.accepted() ? "accepted" : "rejected";
  Result["offset"] = Applied.Offset;
  if (!Applied.accepted()) {
    Result["reason"] = nameOf(fleet::RejectionNames, Applied.Reason);
    Result["detail"] = Applied.Detail;
  }
  if (Applied.Winner)
    Result["winner"] = {{"document", Applied.Winner->Document},
                        {"version", Applied.Winner->Version},
                        {"id", std::to_string(Applied.Winner->Id)},
                        {"author", Applied.Winner->Author}};
  return dump(Result);
}

} // namespace galenalink::node
