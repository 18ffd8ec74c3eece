#include "galenalink/fleet/save_detail.hpp"
#include <set>

namespace galenalink::fleet::detail {

namespace {

[[nodiscard]] constexpr std::uint64_t number(const node_id Id) noexcept {
  return static_cast<std::uint64_t>(Id);
}

void saveDocument(const std::string &Name, const document &From,
                  wire::saved_document &To) {
  To.set_name(Name);
  To.set_text(From.Text);
  To.set_version(From.Version);
  To.set_change(From.Change);
  To.set_author(From.Author);
}

void saveResult(const change_result &From, wire::saved_result &To) {
  To.set_id(From.Id);
  To.set_offset(From.Result.Offset);
  To.set_reason(static_cast<std::uint32_t>(From.Result.Reason));
  To.set_detail(From.Result.Detail);
  if (!From.Result.Winner)
    return;
  const auto &Winner = *From.Result.Winner;
  saveDocument(Winner.Document,
               {{}, Winner.Version, Winner.Id, Winner.Author, nullptr},
               *To.mutable_winner());
}

[[nodiscard]] change_result loadResult(const wire::saved_result &From) {
  change_result To;
  To.Id = From.id();
  To.Result.Offset = From.offset();
  To.Result.Reason = static_cast<rejection>(From.reason());
  To.Result.Detail = From.detail();
  if (From.has_winner()) {
    const auto &Winner = From.winner();
    To.Result.Winner = winning_change{Winner.name(), Winner.version(),
                                      Winner.change(), Winner.author()};
  }
  return To;
}

void saveVm(const vm &From, wire::saved_vm &To) {
  To.set_name(From.Name);
  To.set_member(From.Customer);
  To.set_place(From.DataCentre);
  To.set_rack(From.Rack);
  To.set_address(From.Address);
  To.set_pool(From.Pool);
  To.set_shard(From.Shard);
  To.set_epoch(From.Epoch);
  To.set_condition(static_cast<std::uint32_t>(From.Condition));
  To.set_motion(static_cast<std::uint32_t>(From.Motion));
  To.set_maintenance(static_cast<std::uint32_t>(From.Maintenance));
  To.set_to_pool(From.ToPool);
  To.set_move_reason(From.MoveReason);
  To.set_added_at(From.AddedAt);
  To.set_motion_at(From.MotionAt);
  To.set_maintenance_at(From.MaintenanceAt);
  To.set_action(From.Action);
  To.set_maintained_at(From.MaintainedAt);
  To.set_condition_since(From.ConditionSince);
  To.set_owned_since(From.OwnedSince);
  To.set_failed_in_wave(From.FailedInWave);
}

[[nodiscard]] vm loadVm(const wire::saved_vm &From) {
  vm To;
  To.Name = From.name();
  To.Customer = From.member();
  To.DataCentre = From.place();
  To.Rack = From.rack();
  To.Address = From.address();
  To.Pool = From.pool();
  To.Shard = From.shard();
  To.Epoch = From.epoch();
  To.Condition = static_cast<vm_condition>(From.condition());
  To.Motion = static_cast<vm_motion>(From.motion());
  To.Maintenance = static_cast<vm_maintenance>(From.maintenance());
  To.ToPool = From.to_pool();
  To.MoveReason = From.move_reason();
  To.AddedAt = From.added_at();
  To.MotionAt = From.motion_at();
  To.MaintenanceAt = From.maintenance_at();
  To.Action = From.action();
  To.MaintainedAt = From.maintained_at();
  To.ConditionSince = From.condition_since();
  To.OwnedSince = From.owned_since();
  To.FailedInWave = From.failed_in_wave();
  return To;
}

} // namespace

void saveRoster(const roster &From, wire::saved_roster &To) {
  std::map<node_id, node_ref> Nodes;
  for (const auto &Version : From.Versions) {
    auto &Saved = *To.add_versions();
    Saved.set_version(Version.Version);
    for (const auto &Node : Version.Nodes) {
      Saved.add_nodes(number(Node->Id));
      Nodes.emplace(Node->Id, Node);
    }
  }
  for (const auto &[Id, Node] : Nodes) {
    auto &Saved = *To.add_nodes();
    Saved.set_node(number(Id));
    Saved.set_name(Node->Name);
    Saved.set_place(Node->DataCentre);
    Saved.set_member(Node->Customer);
    Saved.set_peer_address(Node->PeerAddress);
    Saved.set_caller_address(Node->CallerAddress);
    Saved.set_joined_at(Node->JoinedAt);
  }
  for (const auto &[Id, Time] : From.RenewedAt) {
    auto &Mark = *To.add_renewed();
    Mark.set_node(number(Id));
    Mark.set_value(Time);
  }
  for (const auto &[Id, Offset] : From.Stopped) {
    auto &Mark = *To.add_stopped();
    Mark.set_node(number(Id));
    Mark.set_value(static_cast<std::int64_t>(Offset));
  }
  To.set_settled(From.Settled);
  To.set_dropped(From.Dropped);
}

bool loadRoster(const wire::saved_roster &From, roster &To) {
  std::map<std::uint64_t, node_ref> Nodes;
  for (const auto &Each : From.nodes())
    Nodes[Each.node()] = std::make_shared<const node_info>(node_info{
        node_id{Each.node()}, Each.name(), Each.place(), Each.member(),
        Each.peer_address(), Each.caller_address(), Each.joined_at()});
  for (const auto &Each : From.versions()) {
    roster_version Version{Each.version(), {}};
    for (const auto Id : Each.nodes()) {
      const auto Found = Nodes.find(Id);
      if (Found == Nodes.end())
        return false;
      Version.Nodes.push_back(Found->second);
    }
    To.Versions.push_back(std::move(Version));
  }
  for (const auto &Each : From.renewed())
    To.RenewedAt[node_id{Each.node()}] = Each.value();
  for (const auto &Each : From.stopped())
    To.Stopped[node_id{Each.node()}] = static_cast<log_offset>(Each.value());
  To.Settled = From.settled();
  To.Dropped = From.dropped();
  return To.RenewedAt.size() == To.nodes().size();
}

void saveConfiguration(const configuration &From,
                       wire::saved_configuration &To) {
  for (const auto &[Name, Document] : From.Documents)
    saveDocument(Name, Document, *To.add_documents());
  for (const auto &Name : From.Removed)
    To.add_removed(Name);
  for (const auto &[Key, Service] : From.Services) {
    auto &Saved = *To.add_services();
    Saved.set_key(Key);
    Saved.set_pool(Service.Pool);
    Saved.set_document(Service.Document);
  }
  for (const auto &Each : From.Results)
    saveResult(Each, *To.add_results());
  To.set_version(From.Version);
  To.set_forgotten_removal(From.ForgottenRemoval);
}

bool loadConfiguration(const wire::saved_configuration &From, state &State) {
  auto &To = State.Config;
  for (const auto &Each : From.documents()) {
    std::shared_ptr<config::service_file> File;
    if (!Each.text().empty()) {
      File = std::make_shared<config::service_file>();
      if (!State.Parse(Each.name(), Each.text(), *File).empty())
        return false;
      To.countLending(*File, true);
    }
    To.Documents[Each.name()] = {Each.text(), Each.version(), Each.change(),
                                 Each.author(), File};
  }
  To.Removed.assign(From.removed().begin(), From.removed().end());
  for (const auto &Each : From.services())
    To.Services[Each.key()] = {Each.pool(), Each.document()};
  for (const auto &Each : From.results())
    To.Results.push_back(loadResult(Each));
  To.Version = From.version();
  To.ForgottenRemoval = From.forgotten_removal();
  return true;
}

void saveVms(const vm_table &From, wire::saved_state &To) {
  for (const auto &Pool : From.pools()) {
    auto &Saved = *To.add_pools();
    Saved.set_name(Pool.Name);
    Saved.set_member(Pool.Customer);
    Saved.set_shards(Pool.Shards);
    Saved.set_min_up(Pool.MinUp);
    Saved.set_spare(Pool.Spare);
    Saved.set_document(Pool.Document);
    for (const auto &[Service, MinUp] : Pool.ServiceMinUp) {
      auto &Need = *Saved.add_services();
      Need.set_service(Service);
      Need.set_min_up(MinUp);
    }
  }
  To.set_vm_slots(static_cast<std::uint32_t>(From.slots()));
  for (vm_index Index = 0; Index < From.slots(); ++Index) {
    if (!From.used(Index))
      continue;
    auto &Saved = *To.add_vms();
    Saved.set_index(Index);
    saveVm(From.at(Index), Saved);
  }
  for (const auto Index : From.freeSlots())
    To.add_free_slots(Index);
}

bool loadVms(const wire::saved_state &From, vm_table &To) {
  std::vector<pool> Pools;
  for (const auto &Each : From.pools()) {
    auto &Pool = Pools.emplace_back();
    Pool.Name = Each.name();
    Pool.Customer = Each.member();
    Pool.Shards = Each.shards();
    Pool.MinUp = Each.min_up();
    Pool.Spare = Each.spare();
    Pool.Document = Each.document();
    for (const auto &Need : Each.services())
      Pool.ServiceMinUp[Need.service()] = Need.min_up();
  }
  if (From.vm_slots() > vm_table::MaxVms ||
      From.vm_slots() != static_cast<std::uint64_t>(From.vms_size()) +
                             static_cast<std::uint64_t>(From.free_slots_size()))
    return false;
  std::vector<vm> Slots(From.vm_slots());
  std::set<std::string> Names;
  for (const auto &Each : From.vms()) {
    if (Each.index() >= Slots.size() || Each.pool() >= Pools.size() ||
        Each.to_pool() >= Pools.size() ||
        Each.shard() >= Pools[Each.pool()].Shards || Each.name().empty() ||
        !Slots[Each.index()].Name.empty() || !Names.insert(Each.name()).second)
      return false;
    Slots[Each.index()] = loadVm(Each);
  }
  std::vector<vm_index> Free(From.free_slots().begin(),
                             From.free_slots().end());
  for (const auto Index : Free) {
    if (Index >= Slots.size() || !Slots[Index].Name.empty())
      return false;
  }
  To.restore(std::move(Pools), std::move(Slots), std::move(Free));
  return true;
}

} // namespace galenalink::fleet::detail
