#include "galenalink/node/shard_host.hpp"
#include "galenalink/node/peer_codec.hpp"
#include "galenalink/telemetry/log.hpp"
#include "peer.pb.h"
#include <algorithm>
#include <iterator>
#include <utility>

namespace galenalink::node {

namespace {

constexpr telemetry::logger Log{"shard"};

/** How often VMs are compared with the state when no record was folded. */
constexpr duration RefreshPeriod = std::chrono::milliseconds{500};
/** How long a takeover waits for all nodes before some evidence is enough. */
constexpr duration TakeoverGrace = std::chrono::milliseconds{500};
/** How long a takeover waits for nodes that do not answer at all. */
constexpr duration TakeoverLimit = std::chrono::seconds{3};
/** Several periods of the VM list and of the status, so that one lost answer
 * does not end the mark of a VM that still leaves. */
constexpr duration LeavingMark = std::chrono::seconds{10};
constexpr duration AskAgainPeriod = std::chrono::milliseconds{250};
/** A replica refuses records until it has folded the home's roster version. */
constexpr duration ResendPeriod = std::chrono::milliseconds{50};
} // namespace

shard_host::shard_host(const fleet::node_view &View, const catalog &Catalog,
                       const host_settings Settings, host_hooks Hooks)
    : View{View}, Catalog{Catalog}, Settings{Settings}, Hooks{
                                                            std::move(Hooks)} {}

void shard_host::follow(const time_point Now) {
  const auto &Versions = View.State.Roster.Versions;
  if (Versions.empty())
    return;
  const log_offset Version = View.State.Roster.version();
  const bool RosterChanged = Version != RosterVersion;
  RosterVersion = Version;
  const log_offset Previous =
      Versions.size() > 1 ? Versions[Versions.size() - 2].Version : 0;
  const auto &Pools = View.State.Vms.pools();
  for (std::size_t Index = 0; Index < Pools.size(); ++Index) {
    if (!Pools[Index].configured())
      continue;
    for (std::uint32_t Shard = 0; Shard < Pools[Index].Shards; ++Shard) {
      const shard_id Id{Pools[Index].Name, Shard};
      const bool New = !Replicas.contains(Id);
      // Nothing was dispatched in a shard before its pool was configured.
      const request::roster_step Step{Version,
                                      New && !RosterChanged ? 0 : Previous};
      if (New || RosterChanged)
        followShard(Id, static_cast<fleet::pool_index>(Index), Step,
                    RosterChanged, Now);
    }
  }
  if (CatalogVersion != Catalog.version()) {
    CatalogVersion = Catalog.version();
    for (const auto &[Id, Shard] : Homes) {
      const auto &Pool = Catalog.pool(Id.Pool);
      Shard->configure(Pool.Queues, Pool.Teams);
    }
  }
}

void shard_host::followShard(const shard_id &Id, const fleet::pool_index Pool,
                             const request::roster_step Step,
                             const bool RosterChanged, const time_point Now) {
  const auto *Seats = View.Shards.find(Pool, Id.Index);
  if (Seats == nullptr)
    return;
  const bool Home = Seats->Home && Seats->Home->Node == View.Self;
  const bool Replica =
      std::any_of(Seats->Replicas.begin(), Seats->Replicas.end(),
                  [&](const auto &Seat) { return Seat.Node == View.Self; });
  if (!Home)
    retire(Id, Now);
  replicaOf(Id).rosterChanged(Step, Home || Replica);
  Takeovers.erase(Id);
  if (!Home)
    return;
  if (const auto Known = Homes.find(Id); Known != Homes.end()) {
    if (RosterChanged)
      Known->second->rosterChanged(Step.Version, replicasOf(Id));
    return;
  }
  Takeovers[Id].Step = Step;
}

void shard_host::retire(const shard_id &Id, const time_point Now) {
  const auto Known = Homes.find(Id);
  if (Known == Homes.end())
    return;
  const auto Shard = Known->second;
  const auto Horizon = Shard->ledger().horizonAt(Now);
  replicaOf(Id).adopt(Shard->retire(Now), Horizon, Now);
  Log.info("No longer home of a shard.", {{"shard", toString(Id)}});
  if (Shard->running() > 0)
    Retired.push_back(Shard);
  Homes.erase(Known);
}

void shard_host::retireAll(const time_point Now) {
  Stopping = true;
  Takeovers.clear();
  while (!Homes.empty()) {
    const shard_id Id = Homes.begin()->first;
    retire(Id, Now);
  }
}

void shard_host::tick(const time_point Now) {
  for (auto It = Takeovers.begin(); It != Takeovers.end();) {
    const auto Current = It++;
    // A finished takeover is removed, so its id must not be read from it.
    const shard_id Id = Current->first;
    advance(Id, Current->second, Now);
  }
  std::erase_if(
      Leaving, [&](const auto &Entry) { return Entry.second.Deadline <= Now; });
  const bool Due = RefreshedAt != View.State.Offset || NextRefresh <= Now;
  if (Due && View.Authority.holds(Now)) {
    RefreshedAt = View.State.Offset;
    NextRefresh = Now + RefreshPeriod;
    for (const auto &[Unused, Shard] : Homes)
      refresh(Shard);
  }
  for (const auto &[Unused, Shard] : Homes)
    Shard->tick(Now);
  resendRefused(Now);
  for (auto &[Unused, Replica] : Replicas)
    Replica.tick(Now);
  std::erase_if(Retired,
                [](const auto &Shard) { return Shard->running() == 0; });
}

void shard_host::resendRefused(const time_point Now) {
  if (Refused.empty() || Now < NextResend)
    return;
  NextResend = Now + ResendPeriod;
  for (const auto &[Id, Nodes] : std::exchange(Refused, {})) {
    const auto Shard = find(Id);
    if (!Shard)
      continue;
    for (const node_id Node : Nodes)
      Shard->resend(Node);
  }
}

void shard_host::advance(const shard_id &Id, pending_takeover &Pending,
                         const time_point Now) {
  if (!Pending.Takeover) {
    const bool Reached =
        View.Barrier.reached(View.State, Pending.Step.Version, Now);
    if (!Reached || !View.Authority.holds(Now))
      return;
    std::vector<node_id> Roster;
    for (const auto &Node : View.State.Roster.nodes())
      Roster.push_back(Node->Id);
    Pending.Takeover = std::make_unique<request::takeover>(
        Settings.Takeover, Pending.Step, std::move(Roster), Now + TakeoverGrace,
        Now + TakeoverLimit);
  }
  if (Pending.AskAgainAt <= Now)
    collect(Id, Pending, Now);
  if (Pending.Takeover->finished(Now))
    becomeHome(Id, Pending, Now);
}

void shard_host::collect(const shard_id &Id, pending_takeover &Pending,
                         const time_point Now) {
  Pending.AskAgainAt = Now + AskAgainPeriod;
  for (const auto Node : Pending.Takeover->missing()) {
    if (Node == View.Self) {
      if (auto Own = replicaOf(Id).collect(Pending.Step.Version, Now))
        Pending.Takeover->replied(std::move(*Own));
      continue;
    }
    wire::peer_message Message;
    auto &Collect = *Message.mutable_collect();
    Collect.set_pool(Id.Pool);
    Collect.set_shard(Id.Index);
    Collect.set_roster_version(Pending.Step.Version);
    static_cast<void>(Hooks.Send(Node, Message));
  }
}

void shard_host::becomeHome(const shard_id &Id, pending_takeover &Pending,
                            const time_point Now) {
  auto Result = Pending.Takeover->resolve(instant());
  const auto Version = Pending.Step.Version;
  Log.info("Home of a shard.",
           {{"shard", toString(Id)},
            {"entries", Result.Entries.size()},
            {"evidence", Result.Evidence ? "complete" : "partial"}});
  Takeovers.erase(Id);
  request::effects Effects;
  auto Ledger = request::makeLedger(Settings.Ledger, Version, std::move(Result),
                                    Now, Effects);
  replicaOf(Id).becameHome();
  const auto Shard =
      std::make_shared<shard>(Id, std::move(Ledger), hooksFor(Id));
  Homes[Id] = Shard;
  const auto &Pool = Catalog.pool(Id.Pool);
  Shard->configure(Pool.Queues, Pool.Teams);
  refresh(Shard);
  Shard->rosterChanged(Version, replicasOf(Id));
  Shard->start(std::move(Effects), Now);
  Hooks.Adopted(Id);
}

void shard_host::refresh(const std::shared_ptr<shard> &Shard) {
  const auto &Id = Shard->id();
  const auto &Vms = View.State.Vms;
  const auto Pool = Vms.findPool(Id.Pool);
  if (!Pool)
    return;
  const auto Now = boot_clock::now();
  std::vector<shard_vm> ShardVms;
  for (std::size_t Slot = 0; Slot < Vms.slots(); ++Slot) {
    const auto Index = static_cast<fleet::vm_index>(Slot);
    if (!Vms.used(Index))
      continue;
    const auto &Vm = Vms.at(Index);
    if (Vm.Pool != *Pool || Vm.Shard != Id.Index)
      continue;
    ShardVms.push_back(
        {Vm.Name, Vm.Epoch,
         fleet::mayPlace(View, Index, Now) && !Leaving.contains(Vm.Name)});
  }
  Shard->setVms(ShardVms);
}

shard_hooks shard_host::hooksFor(const shard_id &Id) {
  shard_hooks Out;
  Out.Answer = [this](const request::answer &Answer) { answer(Answer); };
  Out.Dispatch = [this, Id](const request::dispatch &Dispatch) {
    const auto &Shard = Homes.at(Id);
    if (const auto Work = Shard->ledger().find(Dispatch.Entry))
      Hooks.Worked(Work->Key->Customer, Id.Pool, {1, 0, 0});
    Hooks.Dispatch(Shard, Dispatch);
  };
  Out.Stop = [this, Id](const request::stop_attempt &Stop) {
    if (const auto Shard = find(Id))
      Hooks.Stop(Shard, Stop);
  };
  Out.Replicate = [this, Id](const request::replicate &Replicate) {
    wire::peer_message Message;
    encode(Replicate, Id, *Message.mutable_replicate());
    static_cast<void>(Hooks.Send(Replicate.To, Message));
  };
  Out.Instant = [this] { return instant(); };
  Out.NextAttempt = [this] { return attempt_id{View.Self, ++LastAttempt}; };
  Out.Decided = Hooks.Decided;
  Out.Waited = Hooks.Waited;
  return Out;
}

std::vector<node_id> shard_host::replicasOf(const shard_id &Id) const {
  std::vector<node_id> Nodes;
  const auto Pool = View.State.Vms.findPool(Id.Pool);
  const auto *Seats = Pool ? View.Shards.find(*Pool, Id.Index) : nullptr;
  if (Seats != nullptr) {
    for (const auto &Seat : Seats->Replicas)
      Nodes.push_back(Seat.Node);
  }
  return Nodes;
}

request::replica &shard_host::replicaOf(const shard_id &Id) {
  return Replicas.try_emplace(Id, View.Self, Settings.Replica).first->second;
}

request::instant shard_host::instant() const {
  return {boot_clock::now(), wallNow(), View.Authority.deadline()};
}

std::shared_ptr<shard> shard_host::find(const shard_id &Shard) const {
  const auto Known = Homes.find(Shard);
  return Known == Homes.end() ? nullptr : Known->second;
}

std::size_t shard_host::running() const {
  std::size_t Count = 0;
  for (const auto &[Unused, Shard] : Homes)
    Count += Shard->running();
  for (const auto &Shard : Retired)
    Count += Shard->running();
  return Count;
}

std::size_t shard_host::runningOn(const std::string &Vm) const {
  std::size_t Count = 0;
  for (const auto &[Unused, Shard] : Homes)
    Count += Shard->runningOn(Vm);
  for (const auto &Shard : Retired)
    Count += Shard->runningOn(Vm);
  return Count;
}

void shard_host::leaving(const std::string &Vm, const bool FirstHand) {
  const auto Deadline = boot_clock::now() + LeavingMark;
  auto [Mark, New] = Leaving.try_emplace(Vm);
  Mark->second.Deadline = Deadline;
  // Only first-hand evidence is passed on, or two peers would keep a mark
  // alive for ever.
  if (FirstHand)
    Mark->second.FirstHandUntil = Deadline;
  if (!New)
    return;
  Log.info("A VM is leaving.", {{"vm", Vm}});
  for (const auto &[Unused, Shard] : Homes)
    Shard->drainVm(Vm, schedule::vm_state::Leaving);
}

std::vector<std::string> shard_host::leavingVms(const std::size_t Limit) const {
  std::vector<std::string> Vms;
  const auto Now = boot_clock::now();
  for (const auto &[Vm, Mark] : Leaving) {
    if (Vms.size() < Limit && Mark.FirstHandUntil > Now)
      Vms.push_back(Vm);
  }
  return Vms;
}

} // namespace galenalink::node
