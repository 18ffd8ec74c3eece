#include "galenalink/node/incarnation.hpp"
#include "galenalink/core/hash.hpp"
#include "galenalink/telemetry/log.hpp"
#include "peer.pb.h"
#include <utility>

namespace galenalink::node {

namespace {

constexpr telemetry::logger Logger{"node"};

/** Resolution of admission, expiry and takeover. */
constexpr duration TickPeriod = std::chrono::milliseconds{20};
/** A leaving VM gets no new work within 3 s of its own answer. */
constexpr duration PollPeriod = std::chrono::seconds{2};

/** How long a new node waits for the log before it asks its peers. */
constexpr duration LogPatience = std::chrono::seconds{1};
constexpr duration VmPollPeriod = std::chrono::seconds{1};

[[nodiscard]] fleet::lease_settings
leaseSettings(const config::settings &Settings) {
  fleet::lease_settings Lease;
  Lease.Lease = std::chrono::milliseconds{Settings.AuthorityMs};
  Lease.OutageAllowance = std::chrono::seconds{Settings.OutageAllowanceS};
  Lease.Suspect = std::chrono::milliseconds{Settings.SuspectMs};
  return Lease;
}

[[nodiscard]] host_settings hostSettings(const config::settings &Settings) {
  host_settings Host;
  const duration Retention = std::chrono::seconds{Settings.KeyRetentionS};
  Host.Ledger.Retention = Retention;
  Host.Ledger.RequiredReplicas = Settings.DurabilityReplicas;
  Host.Replica.Retention = Retention;
  Host.Takeover.Retention = Retention;
  return Host;
}

} // namespace

incarnation::incarnation(const environment &Environment,
                         node_description SelfIn, const send_hook &Send)
    : Environment{Environment}, Self{std::move(SelfIn)},
      State{config::parseServiceFile}, Accounts{State},
      Authority{Self.Id, leaseSettings(Environment.Settings)},
      Barrier{Self.Id, leaseSettings(Environment.Settings)},
      Shards{Environment.Settings.DurabilityReplicas}, View{Self.Id, State,
                                                            Shards, Authority,
                                                            Barrier},
      Log{Environment.Loop, Environment.Adapter, State, followerHooks()},
      Work{State, Log, Self.Id}, Host{View, Catalog,
                                      hostSettings(Environment.Settings),
                                      hostHooks(Send)},
      Router{View,
             Catalog,
             Host,
             {Send,
              [this](const std::string_view Subject, std::string Text) {
                decide(Subject, std::move(Text));
              }}},
      Dispatcher{View, Catalog, Environment.Backend, dispatcherHooks()},
      Membership{View, Log, Self}, Vms{View, Environment.Adapter, Log,
                                       [this](const std::string &Vm) {
                                         Host.leaving(Vm, true);
                                       }},
      Duties{View, Environment.Adapter, Log, dutyHooks()},
      Snapshots{View, Log, [this] { return Accounts.serialize(); }},
      Planner{View, Log,
              [this](const std::string &Pool) { return Vms.homeVms(Pool); },
              [this](const std::string_view Subject, std::string Text) {
                decide(Subject, std::move(Text));
              }},
      Recovery{Environment.Adapter, config::parseServiceFile, recoveryHooks()},
      Send{Send}, StartedAt{boot_clock::now()} {}

incarnation::~incarnation() = default;

follower_hooks incarnation::followerHooks() {
  follower_hooks Hooks;
  Hooks.Folded = [this](const wire::record &Record,
                        const fleet::applied &Applied) {
    Accounts.folded(Record, Applied);
    folded();
  };
  Hooks.Evidence = [this](const time_point SentAt) {
    Authority.logRead(State, SentAt, State.Offset + 1);
  };
  Hooks.Gap = [this](const log_offset Next, const log_offset First) {
    Logger.warning("Records have expired before they were read.",
                   {{"next", Next}, {"first", First}});
    Recovery.start(First);
  };
  return Hooks;
}

host_hooks incarnation::hostHooks(const send_hook &Send) {
  host_hooks Hooks;
  Hooks.Send = Send;
  Hooks.Dispatch = [this](const std::shared_ptr<shard> &Shard,
                          const request::dispatch &Dispatch) {
    Dispatcher.run(Shard, Dispatch);
  };
  Hooks.Stop = [this](const std::shared_ptr<shard> & /*Shard*/,
                      const request::stop_attempt &Stop) {
    Dispatcher.stop(Stop);
  };
  Hooks.Decided = [this](const std::string_view Subject, std::string Text) {
    decide(Subject, std::move(Text));
  };
  Hooks.Waited = [this](const std::string &Queue, const duration Wait) {
    Environment.Metrics
        .times("galenalink_request_wait_seconds",
               "Time from admission to dispatch.", {{"queue", Queue}})
        .observe(std::chrono::duration<double>(Wait).count());
  };
  Hooks.Worked = [this](const std::string &Customer, const std::string &Pool,
                        const account::work_counts &Counts) {
    Work.add(Customer, Pool, Counts);
  };
  Hooks.Adopted = [this](const shard_id &Id) {
    if (const auto Shard = Host.find(Id))
      Dispatcher.poll(Shard);
  };
  return Hooks;
}

dispatcher_hooks incarnation::dispatcherHooks() {
  dispatcher_hooks Hooks;
  Hooks.Leaving = [this](const std::string &Vm) { Host.leaving(Vm, true); };
  Hooks.Decided = [this](const std::string_view Subject, std::string Text) {
    decide(Subject, std::move(Text));
  };
  Hooks.Ended = [this](const run_end End) {
    Environment.Metrics
        .count("galenalink_attempts_total", "Attempts by how they ended.",
               {{"end", std::string{nameOf(RunEndNames, End)}}})
        .add();
  };
  return Hooks;
}

vm_duty_hooks incarnation::dutyHooks() {
  vm_duty_hooks Hooks;
  Hooks.RunningOn = [this](const std::string &Vm) {
    return Host.runningOn(Vm);
  };
  Hooks.IdleAt = [this](const std::string &Vm) {
    return Dispatcher.idleAt(Vm);
  };
  Hooks.Decided = [this](const std::string_view Subject, std::string Text) {
    decide(Subject, std::move(Text));
  };
  return Hooks;
}

void incarnation::decide(const std::string_view Subject, std::string Text) {
  Environment.Decisions.add(wallNow(), Subject, std::move(Text));
}

void incarnation::start() {
  Log.start();
  Ticker = Environment.Loop.every(TickPeriod, [this] { tick(); });
  VmPoller = Environment.Loop.every(VmPollPeriod, [this] { Vms.poll(); });
  DemandAt = boot_clock::now();
  Poller = Environment.Loop.every(PollPeriod, [this] { poll(); });
}

recovery_hooks incarnation::recoveryHooks() {
  recovery_hooks Hooks;
  Hooks.AskPeers = [this] { askPeersForState(); };
  Hooks.Folded = [this] { return State.Offset; };
  Hooks.Restored = [this](fleet::restored Restored) {
    restored(std::move(Restored));
  };
  return Hooks;
}

void incarnation::restored(fleet::restored Restored) {
  State = std::move(Restored.State);
  tryOr([&] { return Accounts.restored(Restored.Account); },
        [](const error &Error) {
          Logger.error("The account starts anew.", {{"cause", Error.Message}});
        });
  FromPeer = true;
  folded();
  Log.hurry();
}

void incarnation::askPeersForState() {
  wire::peer_message Message;
  Message.mutable_state_request()->set_call(1);
  for (const auto Node : Connected)
    static_cast<void>(Send(Node, Message));
}

void incarnation::folded() {
  const auto Now = boot_clock::now();
  Authority.folded(State, Now);
  Barrier.folded(State, Now);
  Shards.update(State);
  Catalog.update(State);
  if (!Stopping)
    Host.follow(Now);
}

void incarnation::tick() {
  const auto Now = boot_clock::now();
  Barrier.advance(State, Now);
  // During an outage of the log, a new node learns the state from its peers.
  if (State.Offset == 0 && !Log.available() && StartedAt + LogPatience <= Now)
    Recovery.askPeers(Now);
  Membership.tick(Now);
  Host.tick(Now);
  Router.tick(Now);
}

void incarnation::poll() {
  for (const auto &[Unused, Shard] : Host.shards())
    Dispatcher.poll(Shard);
  if (!Stopping) {
    Duties.tick(boot_clock::now());
    Snapshots.tick(boot_clock::now());
    measureDemand(boot_clock::now());
    Planner.tick(boot_clock::now());
    Work.tick(boot_clock::now());
  }
  observe();
}

void incarnation::measureDemand(const time_point Now) {
  const auto Elapsed = Now - std::exchange(DemandAt, Now);
  std::map<std::string, demand_report> ByPool;
  std::map<std::string, duration> Offered;
  for (const auto &[Id, Shard] : Host.shards()) {
    auto &Report = ByPool[Id.Pool];
    Report.Pool = Id.Pool;
    Offered[Id.Pool] += Shard->takeOffered();
    Report.QueuedSlotMs += static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(Shard->backlog())
            .count());
  }
  OwnDemand.clear();
  for (auto &[Pool, Report] : ByPool) {
    Report.Slots =
        static_cast<std::uint32_t>((Offered[Pool] + Elapsed / 2) / Elapsed);
    Planner.demand().report(View.Self, wallNow(), Report);
    OwnDemand.push_back(std::move(Report));
  }
}

void incarnation::observe() {
  auto &Metrics = Environment.Metrics;
  Metrics.level("galenalink_folded_offset", "Newest folded offset of the log.")
      .set(static_cast<double>(State.Offset));
  Metrics
      .level("galenalink_log_lag_records",
             "Records of the log that are not folded yet.")
      .set(static_cast<double>(Log.end()) - static_cast<double>(State.Offset) -
           1);
  Metrics
      .level("galenalink_snapshot_records_left",
             "Records that may expire before the newest snapshot is useless.")
      .set(static_cast<double>(State.Snapshot.Through) + 1 -
           static_cast<double>(Log.first()));
  Metrics
      .level("galenalink_config_version",
             "Offset of the configuration in force.")
      .set(static_cast<double>(State.Config.Version));
  Metrics.level("galenalink_authority", "1 if the node may dispatch.")
      .set(Authority.holds(boot_clock::now()) ? 1 : 0);
  Metrics.level("galenalink_homes", "Shards of which the node is home.")
      .set(static_cast<double>(Host.shards().size()));
  Metrics
      .level("galenalink_running_attempts", "Attempts whose answer is awaited.")
      .set(static_cast<double>(Host.running()));
}

bool incarnation::serving() const noexcept {
  return !Stopping && Membership.joined();
}

bool incarnation::idle() const noexcept {
  return Left && Router.pending() == 0 && Host.waiting() == 0;
}

void incarnation::stop(const time_point Deadline) {
  Stopping = true;
  const auto Now = boot_clock::now();
  const bool Alone = State.Roster.nodes().size() <= 1;
  Router.stop(Alone);
  Host.retireAll(Now);
  Work.flush(Now);
  Authority.resign();
  Logger.info("Leaving the roster.");
  Membership.leave(Deadline, [this] {
    Left = true;
    Logger.info("Left the roster.");
  });
}

void incarnation::connected(const node_id Node) {
  Connected.insert(Node);
  Host.connected(Node);
}

void incarnation::disconnected(const node_id Node) {
  Connected.erase(Node);
  Router.disconnected(Node);
}

void incarnation::answered(const node_id Peer, const time_point SentAt,
                           const log_offset Folded) {
  Authority.peerAnswered(State, Peer, SentAt, Folded);
  heard(Peer, Folded);
}

void incarnation::heard(const node_id Peer, const log_offset Folded) {
  const auto Now = boot_clock::now();
  Barrier.acknowledged(Peer, Folded, Now);
  if (Folded <= State.Offset)
    return;
  Log.hurry();
  // A node that was behind when the log went down can't catch up from it, and
  // has no authority until it has folded what its peers have.
  if (!Log.available())
    Recovery.askPeers(Now);
}

std::optional<log_offset> incarnation::answerOffset() const noexcept {
  return Authority.answers() ? std::optional{State.Offset} : std::nullopt;
}

void incarnation::abandon() {
  Stopping = true;
  Authority.resign();
  Router.abandon();
}

} // namespace galenalink::node
