#include "galenalink/job_node/node.hpp"
#include "galenalink/core/hash.hpp"
#include "galenalink/job_node/peer_api.hpp"
#include "galenalink/job_node/reply_deadline.hpp"
#include "galenalink/telemetry/log.hpp"

namespace galenalink::job_node {

namespace {

using verdict = job::caller_reply::verdict;

constexpr telemetry::logger Log{"node"};

/** Longest delay of a duty that depends on the time. */
constexpr duration TickInterval = std::chrono::milliseconds{20};
/** Interval at which the leader reads the list of VMs, and while some are on
 * their way. */
constexpr duration VmListInterval = std::chrono::milliseconds{1000};
constexpr duration MotionListInterval = std::chrono::milliseconds{300};
/** A lead that was confirmed this lately has no successor that orders VMs:
 * others claim after a longer silence, and recover first. */
constexpr duration ConfirmedFor = std::chrono::milliseconds{1000};
/** Pause before recovery is tried again after a failure. */
constexpr duration RecoverPause = std::chrono::milliseconds{100};
/** Leases must end well before a successor of a successor starts work, and
 * outlast the election of a new leader. */
constexpr std::uint32_t LeaseMs = 4500;
/** Interval at which calls that wait for a leader are looked at. */
constexpr duration RelayInterval = std::chrono::milliseconds{25};
/** A node is not ready for this long after the leader could not be reached. */
constexpr duration UnreachablePause = std::chrono::milliseconds{1500};
/** Tells whether a node leads, and as which process. */
constexpr std::string_view LeaderPath = "/v1/leader";
constexpr duration ProbeTimeout = std::chrono::milliseconds{400};
constexpr tail_settings OperatorTailSettings{job::topic::Operator, 700,
                                             duration{0}};
constexpr tail_settings RegistrationTailSettings{
    job::topic::Registrations, 700, std::chrono::milliseconds{150}};

std::string ownAddress(const settings &Settings) {
  return Settings.Peers.Host + ":" + std::to_string(Settings.Peers.Port);
}

job::election_settings electionSettings(const settings &Settings) {
  job::election_settings Election;
  Election.Node = Settings.Name + "@" + std::to_string(wallNow());
  Election.Address = ownAddress(Settings);
  Election.StartedAt = boot_clock::now();
  Election.ClaimDelay = job::claimDelay(
      Settings.ProcessorShare * Settings.ProcessorSpeed, hash64(Election.Node));
  return Election;
}

duration fromSeconds(const double Seconds) {
  return duration{static_cast<std::int64_t>(Seconds * 1e6)};
}

job::leader_settings leaderSettings(const settings &Settings) {
  job::leader_settings Leader;
  Leader.Node = Settings.Name;
  Leader.Lease =
      std::chrono::milliseconds{std::min(LeaseMs, Settings.MaxLeaseMs)};
  Leader.MinVmOrderGap = std::chrono::milliseconds{Settings.HolderPauseMs};
  Leader.MoveTime = fromSeconds(Settings.MoveS);
  Leader.MaintenanceTime = fromSeconds(Settings.MaintenanceS);
  return Leader;
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
      OperatorTail{Loop,
                   Ports,
                   OperatorTailSettings,
                   {[this](const auto &Records) { takeOperator(Records); },
                    [this](const auto &Records) { takeOperator(Records); }}},
      RegistrationTail{Loop,
                       Ports,
                       RegistrationTailSettings,
                       {[this](const auto &Records) {
                          View.takeRegistrations(Records, true);
                          if (Controller)
                            Controller->setRegistrations(View.registrations());
                        },
                        [this](const auto &Records) {
                          View.takeRegistrations(Records, false);
                          if (Controller)
                            Controller->setRegistrations(View.registrations());
                        }}},
      Seat{Loop,
           Ports,
           electionSettings(this->Settings),
           {[this](const std::uint64_t Epoch) { elected(Epoch); },
            [this] { deposed(); },
            [this](const job::leadership &Leader) {
              Relay.leaderChanged(Leader.Released
                                      ? relay_target{}
                                      : relay_target{Leader.Epoch, Leader.Node,
                                                     Leader.Address});
            },
            [this](const job::leadership &Leader,
                   std::function<void(probe_answer)> Answer) {
              probe(Leader, std::move(Answer));
            }}},
      PeerServer{
          Loop,
          {},
          [this](http::exchange Exchange) { fromPeer(std::move(Exchange)); }},
      PeerClient{Loop, peerOptions()},
      Relay{{[] { return boot_clock::now(); },
             [this](const relay_target &To, const caller_call &Call,
                    const time_point AnswerBy,
                    std::function<void(relay_answer)> Callback) {
               pass(To, Call, AnswerBy, std::move(Callback));
             }}} {}

node::~node() = default;

result<void> node::start() {
  if (auto Done = PeerServer.listen(Settings.Peers.Host, Settings.Peers.Port);
      !Done)
    return Done.error();
  OperatorTail.start();
  Seat.start();
  return {};
}

void node::stop(std::function<void()> OnReleased) {
  Stopping = true;
  Recovering = 0;
  if (Controller)
    deposed();
  Seat.release(std::move(OnReleased));
}

bool node::ready() const {
  if (Stopping || View.rules().Version == 0)
    return false;
  if (Controller)
    return Controller->state().Journal.healthy();
  const auto &Current = Seat.current();
  const bool Reachable =
      ForwardFailedAt == NoDeadline ||
      boot_clock::now() >= ForwardFailedAt + UnreachablePause;
  return Current.Epoch != 0 && !Current.Released && Recovering == 0 &&
         Reachable;
}

void node::takeOperator(const std::vector<job::keyed_record> &Records) {
  if (!View.takeOperator(Records) || !Controller)
    return;
  Controller->setRules(View.rules());
  Controller->setWaves(View.waves());
}

void node::elected(const std::uint64_t Epoch) {
  if (Stopping)
    return;
  Recovering = Epoch;
  recover(Epoch);
}

void node::recover(const std::uint64_t Epoch) {
  if (Recovering != Epoch)
    return;
  const auto Again = [this, Epoch] {
    Tick = Loop.at(boot_clock::now() + RecoverPause,
                   [this, Epoch] { recover(Epoch); });
  };
  if (!Tailing) {
    Tailing = true;
    RegistrationTail.start();
  }
  Ports.Fence(Epoch, [this, Epoch, Again](const job::append_result &Fenced) {
    if (Recovering != Epoch)
      return;
    if (Fenced.Outcome == job::call_outcome::Fenced) {
      Recovering = 0;
      Seat.fenced();
      return;
    }
    if (Fenced.Outcome != job::call_outcome::Done) {
      Log.warning("the epoch can't be fenced",
                  {{"epoch", Epoch}, {"why", Fenced.Reason}});
      Again();
      return;
    }
    Ports.ReadLatest(job::topic::Jobs,
                     [this, Epoch, Again](const job::latest_result &Records) {
                       if (Recovering != Epoch)
                         return;
                       if (Records.Outcome == job::call_outcome::Done)
                         lead(Epoch, Records);
                       else
                         Again();
                     });
  });
}

void node::lead(const std::uint64_t Epoch, const job::latest_result &Records) {
  Recovering = 0;
  auto State = std::make_unique<job::leader>(
      Ports, leaderSettings(Settings), Epoch, [] { return boot_clock::now(); },
      [] { return wallNow(); },
      [this] { Loop.post([this] { Seat.fenced(); }); });
  State->LeadConfirmed = [this] {
    return boot_clock::now() < Seat.confirmedAt() + ConfirmedFor;
  };
  State->Counts = Counts;
  State->AfterEvent = [this] { scheduleSettle(); };
  Controller = std::make_unique<job::controller>(std::move(State), Records,
                                                 View.rules());
  Controller->setRegistrations(View.registrations());
  Controller->setWaves(View.waves());
  NextVmList = boot_clock::now();
  Tick = Loop.every(TickInterval, [this] { tick(); });
}

void node::deposed() {
  Recovering = 0;
  Tick.cancel();
  // A callback of the controller may be on the stack.
  Loop.post([Ended = std::shared_ptr{std::move(Controller)}] {});
  Controller = nullptr;
}

void node::scheduleSettle() {
  if (SettlePosted)
    return;
  SettlePosted = true;
  Loop.post([this] {
    SettlePosted = false;
    if (Controller)
      Controller->dispatchAndFlush();
  });
}

void node::tick() {
  if (!Controller)
    return;
  Controller->tick();
  if (boot_clock::now() >= NextVmList && !ListingVms)
    listVms();
}

void node::listVms() {
  ListingVms = true;
  const time_point AskedAt = boot_clock::now();
  NextVmList = AskedAt + (Controller->hasPendingVmOrders() ? MotionListInterval
                                                           : VmListInterval);
  Ports.ListVms([this, AskedAt](const job::vms_result &Result) {
    ListingVms = false;
    if (!Controller)
      return;
    if (Result.Outcome == job::call_outcome::Done)
      Controller->setVms(Result.Vms, AskedAt);
    else
      Log.warning("the list of VMs can't be read",
                  {{"outcome", std::string{nameOf(job::CallOutcomeNames,
                                                  Result.Outcome)}}});
  });
}

std::string node::metrics() {
  node_levels Levels;
  Levels.Ready = ready();
  Levels.Leads = leads();
  Levels.Epoch = Seat.current().Epoch;
  Levels.RulesVersion = View.rules().Version;
  if (Controller) {
    Levels.OpenJobs = Controller->state().OpenJobs.size();
    Levels.Servers = Controller->state().Servers.size();
  }
  return Metrics.render(*Counts, Levels);
}

void node::call(const caller_call &Call, job::reply_function Reply) {
  auto Counted = [this, Kind = Call.Kind, From = boot_clock::now(),
                  Reply = std::move(Reply)](const job::caller_reply &Result) {
    Metrics.answered(Kind, Result.Verdict, boot_clock::now() - From);
    Reply(Result);
  };
  const time_point ReplyBy = replyBy(Call.Deadline);
  auto Once = withDeadline(Loop, ReplyBy, std::move(Counted));
  caller_call Passed = Call;
  Passed.Deadline = ReplyBy;
  Relay.call(Passed, std::move(Once));
  watchRelay();
}

void node::serveHere(const caller_call &Call, job::reply_function Reply) {
  switch (Call.Kind) {
  case call_kind::Submit:
    Controller->submit(Call.Queue, Call.Job, Call.Spec, std::move(Reply));
    break;
  case call_kind::Query:
    Reply(Controller->query(Call.Job));
    break;
  case call_kind::Cancel:
    Controller->cancel(Call.Job, std::move(Reply));
    break;
  case call_kind::Pending:
    Reply(Controller->pending(Call.Queue));
    break;
  }
  scheduleSettle();
}

void node::pass(const relay_target &To, const caller_call &Call,
                const time_point AnswerBy,
                std::function<void(relay_answer)> Callback) {
  if (To.Address == ownAddress(Settings)) {
    Loop.post([this, Call, Callback = std::move(Callback)] {
      if (Controller)
        serveHere(Call, Callback);
      else
        Callback(relay_failure::NotTaken);
    });
    return;
  }
  const auto Address = tryOr(
      [&]() -> result<http::address> { return http::parseAddress(To.Address); },
      [](const error &) { return http::address{}; });
  PeerClient.send(
      Address, toRequest(Call), AnswerBy,
      [this, Callback = std::move(Callback)](const http::answer &Answer) {
        Callback(takePeerAnswer(Answer));
      });
}

relay_answer node::takePeerAnswer(const http::answer &Answer) {
  if (const auto *Response = std::get_if<http::response>(&Answer)) {
    if (const auto Reply = parseReply(Response->Body)) {
      if (Reply->Verdict == verdict::NotLeading)
        return relay_failure::NotTaken;
      ForwardFailedAt = NoDeadline;
      return *Reply;
    }
  }
  ForwardFailedAt = boot_clock::now();
  const auto *Failure = std::get_if<http::failure>(&Answer);
  const bool NotSent =
      Failure != nullptr && Failure->Delivery == http::delivery::NotSent;
  return NotSent ? relay_failure::NotTaken : relay_failure::Unknown;
}

void node::watchRelay() {
  if (RelayTimer.pending())
    return;
  RelayTimer = Loop.every(RelayInterval, [this] {
    Relay.tick();
    if (Relay.idle())
      RelayTimer.cancel();
  });
}

void node::probe(const job::leadership &Leader,
                 std::function<void(probe_answer)> Answer) {
  http::request Request;
  Request.Path = std::string{LeaderPath};
  const auto Address = tryOr(
      [&]() -> result<http::address> {
        return http::parseAddress(Leader.Address);
      },
      [](const error &) { return http::address{}; });
  PeerClient.send(Address, std::move(Request), boot_clock::now() + ProbeTimeout,
                  [Node = Leader.Node,
                   Answer = std::move(Answer)](const http::answer &Result) {
                    const auto *Response = std::get_if<http::response>(&Result);
                    if (Response != nullptr) {
                      const bool Leads =
                          Response->Status == 200 && Response->Body == Node;
                      Answer(Leads ? probe_answer::Leads : probe_answer::Gone);
                      return;
                    }
                    // A refused connection shows that no process listens there.
                    const auto &Failure = std::get<http::failure>(Result);
                    const bool Refused =
                        Failure.Delivery == http::delivery::NotSent &&
                        Failure.Error.Code == errc::Unavailable;
                    Answer(Refused ? probe_answer::Gone : probe_answer::Silent);
                  });
}

void node::fromPeer(http::exchange Exchange) {
  if (Exchange.path() == LeaderPath) {
    Exchange.reply(Seat.leadsWell() ? 200 : 404, {}, Seat.current().Node);
    return;
  }
  const auto Call = parseCall(Exchange);
  if (!Call) {
    Exchange.reply(400, {}, {});
    return;
  }
  auto Shared = std::make_shared<http::exchange>(std::move(Exchange));
  const auto Answer = [Shared](const job::caller_reply &Reply) {
    Shared->reply(200, {}, toBody(Reply));
  };
  if (!Controller) {
    job::caller_reply Reply;
    Reply.Verdict = verdict::NotLeading;
    Answer(Reply);
    return;
  }
  serveHere(*Call, withDeadline(Loop, Call->Deadline, Answer));
}

} // namespace galenalink::job_node
