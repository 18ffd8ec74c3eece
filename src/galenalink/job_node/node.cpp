#include "galenalink/job_node/node.hpp"
#include "galenalink/job/customers.hpp"
#include "galenalink/job_node/listener_limits.hpp"
#include "galenalink/job_node/node_settings.hpp"
#include "galenalink/telemetry/log.hpp"

namespace galenalink::job_node {

namespace {

constexpr telemetry::logger Log{"node"};

/** Interval of the leader's time-driven tasks. */
constexpr duration TickInterval = std::chrono::milliseconds{20};
/** Interval at which the leader reads the list of VMs; the shorter one applies
 * while VM orders are pending. */
constexpr duration VmListInterval = std::chrono::milliseconds{1000};
constexpr duration VmListIntervalWithPendingOrders =
    std::chrono::milliseconds{300};
/** Delay before a failed recovery is retried. */
constexpr duration RecoveryRetryDelay = std::chrono::milliseconds{100};
/** A node is not ready for this long after a forwarded request failed. */
constexpr duration UnreadyAfterForwardFailure = std::chrono::milliseconds{1500};
/** Interval of the log line with the leader's queue lengths. */
constexpr duration LoadLogInterval = std::chrono::milliseconds{1000};
/** Neither a shorter delay of the loop nor a younger journal is logged. */
constexpr duration MinLoggedDelay = std::chrono::milliseconds{100};
constexpr log_reader_settings OperatorReaderSettings{job::topic::Operator, 700,
                                                     duration{0}};
constexpr log_reader_settings RegistrationReaderSettings{
    job::topic::Registrations, 700, std::chrono::milliseconds{150}};

double toSeconds(const duration Value) {
  return std::chrono::duration<double>(Value).count();
}

void logStartOfLeading(const job::leader &Leader) {
  const bool HasRules = Leader.Rules.Version != 0;
  Log.write(HasRules ? telemetry::severity::Info : telemetry::severity::Warning,
            HasRules ? "leading" : "leading before the rules have been read",
            {{"epoch", Leader.Epoch},
             {"rules", Leader.Rules.Version},
             {"open_jobs", Leader.OpenJobs.size()},
             {"open_jobs_without_rule", countOpenJobsWithoutRule(Leader)}});
}

http::client_options peerOptions() {
  http::client_options Options;
  Options.MaxConnections = 8;
  Options.IdleTimeout = std::chrono::seconds{30};
  return Options;
}

} // namespace

node::node(http::loop &Loop, const job::ports &Ports, settings Settings)
    : Loop{Loop}, Ports{Ports}, Settings{std::move(Settings)}, View{Ports},
      OperatorReader{
          Loop,
          Ports,
          OperatorReaderSettings,
          {[this](const auto &Records) { applyOperatorRecords(Records); },
           [this](const auto &Records) { applyOperatorRecords(Records); }}},
      RegistrationReader{
          Loop,
          Ports,
          RegistrationReaderSettings,
          {[this](const auto &Records) {
             View.applyRegistrations(Records, true);
             if (Controller)
               Controller->setRegistrations(View.registrations());
           },
           [this](const auto &Records) {
             View.applyRegistrations(Records, false);
             if (Controller)
               Controller->setRegistrations(View.registrations());
           }}},
      Elector{Loop,
              Ports,
              electionSettings(this->Settings),
              {[this](const std::uint64_t Epoch) { startRecovery(Epoch); },
               [this] { stopLeading(); },
               [this](const job::leadership &Leader) {
                 if (!Directory.applyLog(Leader))
                   return;
                 followLeader();
                 // The former leader may be cut off from the log.
                 const forward_target &Former = Directory.former();
                 const bool Own = Leader.Node == Elector.settings().Node;
                 if (Own && !Leader.Released && Former.Epoch != 0)
                   reportLeader(Former.Address);
               },
               [this](const job::leadership &Leader,
                      std::function<void(probe_result)> Callback) {
                 probeLeader(Leader, std::move(Callback));
               }}},
      PeerServer{Loop, peersLimits(this->Settings),
                 [this](http::exchange Exchange) {
                   handlePeerRequest(std::move(Exchange));
                 }},
      PeerClient{Loop, peerOptions()},
      Forwarder{{[] { return boot_clock::now(); },
                 [this](const forward_target &To, const caller_request &Request,
                        const time_point RespondBy,
                        std::function<void(forward_result)> Callback) {
                   forwardRequest(To, Request, RespondBy, std::move(Callback));
                 }},
                memoryFraction(this->Settings, 16)},
      LoopDelay{TickInterval, LoadLogInterval} {}

node::~node() = default;

result<void> node::start() {
  if (auto Done = PeerServer.listen(Settings.Peers.Host, Settings.Peers.Port);
      !Done)
    return Done.error();
  OperatorReader.start();
  Elector.start();
  return {};
}

void node::stop(std::function<void()> OnReleased) {
  Stopping = true;
  RecoveringEpoch = 0;
  if (Controller)
    stopLeading();
  Elector.release(std::move(OnReleased));
}

bool node::ready() const {
  if (Stopping || View.rules().Version == 0)
    return false;
  if (Controller)
    return Controller->state().Journal.healthy();
  const bool Reachable =
      ForwardFailedAt == NoDeadline ||
      boot_clock::now() >= ForwardFailedAt + UnreadyAfterForwardFailure;
  return Directory.current().Epoch != 0 && RecoveringEpoch == 0 && Reachable;
}

void node::applyOperatorRecords(const std::vector<job::keyed_record> &Records) {
  const auto Version = View.rules().Version;
  const bool Changed = View.applyOperatorRecords(Records);
  if (View.rules().Version != Version)
    RulesAppliedAt = boot_clock::now();
  if (!Changed || !Controller)
    return;
  Controller->setRules(View.rules());
  Controller->setWaves(View.waves());
}

void node::startRecovery(const std::uint64_t Epoch) {
  if (Stopping)
    return;
  RecoveringEpoch = Epoch;
  recover(Epoch);
}

void node::recover(const std::uint64_t Epoch) {
  if (RecoveringEpoch != Epoch)
    return;
  const auto Retry = [this, Epoch] {
    TickTimer = Loop.at(boot_clock::now() + RecoveryRetryDelay,
                        [this, Epoch] { recover(Epoch); });
  };
  if (!ReadingRegistrations) {
    ReadingRegistrations = true;
    RegistrationReader.start();
  }
  Ports.Fence(Epoch, [this, Epoch, Retry](const job::append_result &Fenced) {
    if (RecoveringEpoch != Epoch)
      return;
    if (Fenced.Outcome == job::call_outcome::Fenced) {
      RecoveringEpoch = 0;
      Elector.markFenced("store");
      return;
    }
    if (Fenced.Outcome != job::call_outcome::Done) {
      Log.warning("cannot fence earlier epochs; retrying",
                  {{"epoch", Epoch}, {"why", Fenced.Reason}});
      Retry();
      return;
    }
    Ports.ReadLatest(job::topic::Jobs,
                     [this, Epoch, Retry](const job::latest_result &Records) {
                       if (RecoveringEpoch != Epoch)
                         return;
                       if (Records.Outcome == job::call_outcome::Done)
                         startLeading(Epoch, Records);
                       else
                         Retry();
                     });
  });
}

void node::startLeading(const std::uint64_t Epoch,
                        const job::latest_result &Records) {
  RecoveringEpoch = 0;
  auto State = std::make_unique<job::leader>(
      Ports, leaderSettings(Settings), Epoch, [] { return boot_clock::now(); },
      [] { return wallNow(); },
      [this](const std::string_view RejectedBy) {
        Loop.post(
            [this, By = std::string{RejectedBy}] { Elector.markFenced(By); });
      });
  State->LeadershipConfirmedAt = [this] { return Elector.confirmedAt(); };
  State->ConfirmLeadership = [this] { Elector.confirmSoon(); };
  State->PredecessorSeenAt = Elector.predecessorSeenAt();
  State->Counts = Counts;
  State->AfterEvent = [this] { scheduleDispatch(); };
  Controller = std::make_unique<job::controller>(std::move(State), Records,
                                                 View.rules());
  logStartOfLeading(Controller->state());
  Controller->setRegistrations(View.registrations());
  Controller->setWaves(View.waves());
  WasConfirmed = true;
  NextVmListAt = boot_clock::now();
  LoopDelay = loop_delay{TickInterval, LoadLogInterval};
  TickTimer = Loop.every(TickInterval, [this] { tick(); });
}

void node::stopLeading() {
  RecoveringEpoch = 0;
  TickTimer.cancel();
  // Destroyed by the event loop later, as a callback of the controller may be
  // on the stack.
  Loop.post([Ended = std::shared_ptr{std::move(Controller)}] {});
  Controller = nullptr;
}

void node::scheduleDispatch() {
  if (DispatchScheduled)
    return;
  DispatchScheduled = true;
  Loop.post([this] {
    DispatchScheduled = false;
    if (Controller)
      Controller->dispatchAndFlush();
  });
}

void node::tick() {
  if (!Controller)
    return;
  if (LoopDelay.record(boot_clock::now()))
    logLoad();
  measureCallbackDelay();
  logConfirmation();
  Controller->tick(LoopDelay.latest(),
                   CallbackDelay.current(boot_clock::now()));
  if (boot_clock::now() >= NextVmListAt && !ListingVms)
    listVms();
}

void node::measureCallbackDelay() {
  if (!CallbackDelay.begin(boot_clock::now()))
    return;
  Loop.post([this, Weak = std::weak_ptr{LifetimeToken}] {
    if (Weak.lock())
      CallbackDelay.end(boot_clock::now());
  });
}

void node::logConfirmation() {
  const bool Confirmed = job::mayGrantLeases(Controller->state());
  if (Confirmed == WasConfirmed)
    return;
  WasConfirmed = Confirmed;
  const auto ConfirmedMsAgo = static_cast<std::uint64_t>(
      wholeMs(boot_clock::now() - Elector.confirmedAt()));
  Log.write(Confirmed ? telemetry::severity::Info
                      : telemetry::severity::Warning,
            Confirmed ? "leadership is confirmed again"
                      : "leadership is not confirmed, granting no leases",
            {{"epoch", Controller->state().Epoch},
             {"confirmed_ms_ago", ConfirmedMsAgo}});
}

void node::logLoad() const {
  const job::leader &State = Controller->state();
  const auto Journal = State.Journal.currentLoad();
  const time_point Now = boot_clock::now();
  const duration Age = Now - Journal.OldestAt.value_or(Now);
  const duration Held = State.StartsHeldSince == NoDeadline
                            ? duration{0}
                            : Now - State.StartsHeldSince;
  const duration Callbacks = CallbackDelay.current(Now);
  if (std::max({Age, Held, LoopDelay.longest(), Callbacks}) < MinLoggedDelay)
    return;
  const auto Ms = [](const duration Value) {
    return static_cast<std::uint64_t>(wholeMs(Value));
  };
  Log.info("leader is behind", {{"loop_delay_ms", Ms(LoopDelay.longest())},
                                {"callback_delay_ms", Ms(Callbacks)},
                                {"journal_age_ms", Ms(Age)},
                                {"starts_held_ms", Ms(Held)},
                                {"journal_records", Journal.Records},
                                {"journal_batch_bytes", Journal.BatchBytes},
                                {"journal_callbacks", Journal.Callbacks},
                                {"starts_in_flight", State.StartWindow.size()},
                                {"waiting_jobs", State.WaitingJobs},
                                {"forwarded", Forwarder.size()},
                                {"posted", Loop.posted()}});
}

void node::listVms() {
  ListingVms = true;
  const time_point RequestedAt = boot_clock::now();
  const duration Interval = Controller->hasPendingVmOrders()
                                ? VmListIntervalWithPendingOrders
                                : VmListInterval;
  NextVmListAt =
      RequestedAt +
      std::max(Interval,
               minVmListInterval(Settings, Controller->state().Vms.size()));
  Ports.ListVms([this, RequestedAt](const job::vms_result &Result) {
    ListingVms = false;
    if (!Controller)
      return;
    if (Result.Outcome == job::call_outcome::Done)
      Controller->setVms(Result, RequestedAt);
    else
      Log.warning("cannot read the list of VMs",
                  {{"outcome", std::string{nameOf(job::CallOutcomeNames,
                                                  Result.Outcome)}}});
  });
}

namespace {

std::vector<customer_gauges> customerGauges(const job::leader &Leader) {
  std::vector<customer_gauges> Gauges;
  if (!Leader.Rules.Customers)
    return Gauges;
  double Weights = 0;
  for (const auto &Each : *Leader.Rules.Customers)
    Weights += job::shareWeight(Leader, Each.Name);
  for (const auto &Each : *Leader.Rules.Customers)
    Gauges.push_back({Each.Name, Leader.Quotas.inUse(Each.Name), Each.Quota,
                      job::shareWeight(Leader, Each.Name) / Weights});
  return Gauges;
}

} // namespace

std::string
node::metrics(const std::initializer_list<const http::server *> Servers) {
  node_gauges Gauges;
  Gauges.Ready = ready();
  Gauges.Leads = leads();
  Gauges.Epoch = Elector.current().Epoch;
  Gauges.RulesVersion = View.rules().Version;
  Gauges.ForwardedRequests = Forwarder.size();
  Gauges.ForwardedBytes = Forwarder.openBytes();
  Gauges.ForwardsRefused = Forwarder.refused();
  if (Controller) {
    const job::leader &State = Controller->state();
    Gauges.LeaderRulesVersion = State.Rules.Version;
    Gauges.OpenJobsWithoutRule = job::countOpenJobsWithoutRule(State);
    Gauges.ConfirmationAgeS =
        toSeconds(boot_clock::now() - Elector.confirmedAt());
    Gauges.OpenJobs = State.OpenJobs.size();
    Gauges.OpenJobBytes = State.JobMemory.open();
    Gauges.EndedJobBytes = State.JobMemory.ended();
    Gauges.Servers = State.Servers.size();
    const auto Journal = State.Journal.currentLoad();
    const time_point Now = boot_clock::now();
    Gauges.LoopDelayS = toSeconds(LoopDelay.longest());
    Gauges.CallbackDelayS = toSeconds(CallbackDelay.current(Now));
    Gauges.JournalRecords = Journal.Records;
    Gauges.JournalAgeS = toSeconds(Now - Journal.OldestAt.value_or(Now));
    Gauges.StartsInFlight = State.StartWindow.size();
    Gauges.WaitingJobs = State.WaitingJobs;
    Gauges.Customers = customerGauges(State);
    if (State.StartsHeldSince != NoDeadline)
      Gauges.StartsHeldS = toSeconds(Now - State.StartsHeldSince);
  }
  for (const http::server *Each : Servers)
    Metrics.updateServer(*Each);
  Metrics.updateServer(PeerServer);
  return Metrics.render(*Counts, Gauges);
}

} // namespace galenalink::job_node
