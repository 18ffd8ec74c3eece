#include "simulated_platform.hpp"
#include <algorithm>

namespace galenalink::test {

namespace {

using namespace job;

/** Network latency of a request. */
constexpr duration Latency = std::chrono::milliseconds{1};
constexpr duration CallTimeout = std::chrono::milliseconds{700};
constexpr duration TickInterval = std::chrono::milliseconds{20};
/** Time until a long-running task reports 100 percent. */
constexpr duration StartupTime = std::chrono::milliseconds{700};
constexpr wall_ms WallStart = 1'700'000'000'000;

std::int64_t toMs(const time_point Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Time.time_since_epoch())
      .count();
}

/** @brief Whether the order is meant for another incarnation under the id. It
 * is not sent to the backend server then. */
template <typename Order>
bool isReplaced(const simulated_server &Server, const Order &Each) {
  return !mayBeSameIncarnation(Server.Entry.StartedAtMs,
                               Each.Server.StartedAtMs);
}

} // namespace

step_spec makeStep(const std::uint32_t Count, const std::int64_t Cpu,
                   const std::uint32_t EstimateMs) {
  step_spec Step;
  Step.Count = Count;
  Step.Size = {Cpu, 100, 0};
  Step.EstimateMs = EstimateMs;
  return Step;
}

fleet_rules makeSinglePoolRules() {
  fleet_rules Rules;
  Rules.Version = 1;
  queue_rule Queue;
  Queue.Name = "press";
  Queue.Pool = "press";
  Queue.MaxAttempts = 3;
  Queue.Stretch = 1.6;
  Queue.SlackMs = 600;
  Rules.Queues.push_back(Queue);
  Rules.Pools.push_back({"press", false, false});
  return Rules;
}

simulated_platform::simulated_platform() : Rules{makeSinglePoolRules()} {
  Duration = [](const task_id &, const std::uint32_t EstimateMs) {
    return static_cast<double>(EstimateMs);
  };
  connectStore();
  connectServers();
  connectVms();
  connectTicketService();
}

void simulated_platform::schedule(const duration Delay,
                                  std::function<void()> Function) {
  Events.emplace(Now + Delay, std::move(Function));
}

void simulated_platform::connectStore() {
  Ports.Append = [this](const std::uint64_t AppendEpoch, std::uint64_t,
                        const std::vector<keyed_record> &Records,
                        const time_point ResponseDeadline,
                        const auto &Callback) {
    if (StoreDown) {
      schedule(ResponseDeadline - Now, [Callback] {
        Callback({call_outcome::Unknown, ""});
      });
      return;
    }
    schedule(AppendTime, [this, AppendEpoch, Records, Callback] {
      if (AppendEpoch < StoreEpoch) {
        ++FencedAppends;
        Callback({call_outcome::Fenced, ""});
        return;
      }
      for (const auto &Each : Records) {
        if (Each.Value)
          Stored[Each.Key] = *Each.Value;
        else
          Stored.erase(Each.Key);
      }
      Callback({call_outcome::Done, ""});
    });
  };
  Ports.PublishWave = [this](std::uint64_t, bool, const auto &Callback) {
    schedule(AppendTime, [Callback] { Callback({call_outcome::Done, ""}); });
  };
}

void simulated_platform::connectServers() {
  Ports.Heartbeat = [this](const heartbeat_order &Order, const auto &Callback) {
    const auto Found = Servers.find(Order.Server.Id);
    if (Found == Servers.end() || Found->second.Unresponsive) {
      schedule(CallTimeout, [Callback] { Callback(heartbeat_result{}); });
      return;
    }
    const bool Waits = Order.WaitMs > 0 && Found->second.Listed.empty();
    schedule(Waits ? std::chrono::milliseconds{50} : Latency,
             [this, Order, Callback] { Callback(heartbeat(Order)); });
  };
  Ports.Start = [this](const start_order &Order, const auto &Callback) {
    const auto Found = Servers.find(Order.Server.Id);
    const bool Lost = Found == Servers.end() || Found->second.Unresponsive;
    const bool OnTime = !Lost && Found->second.DelaysAlternateStarts &&
                        ++Found->second.StartCalls % 2 == 0;
    const bool Late = !Lost && !OnTime && Found->second.StartDelay.count() > 0;
    if (!Lost)
      schedule(Late ? Found->second.StartDelay : Latency,
               [this, Order, Callback, Late] {
                 const auto Result = start(Order);
                 const auto Server = Servers.find(Order.Server.Id);
                 if (!Late && Server != Servers.end() &&
                     !Server->second.DropsStartResponses)
                   Callback(Result);
               });
    if (Lost || Late || Found->second.DropsStartResponses)
      schedule(Order.ResponseDeadline - Now,
               [Callback] { Callback(order_result{}); });
  };
  Ports.Stop = [this](const stop_order &Order, const auto &Callback) {
    const auto Found = Servers.find(Order.Server.Id);
    if (Found == Servers.end() || Found->second.Unresponsive ||
        Found->second.IgnoresStops) {
      schedule(Order.ResponseDeadline - Now,
               [Callback] { Callback(order_result{}); });
      return;
    }
    schedule(Latency, [this, Order, Callback] { Callback(stop(Order)); });
  };
  Ports.Pace = [this](const pace_order &Order, const auto &Callback) {
    schedule(Latency, [this, Order, Callback] {
      const auto Server = Servers.find(Order.Server.Id);
      if (Server != Servers.end() && Server->second.Running.contains(Order.Run))
        Server->second.Running.at(Order.Run).Pace = Order.Percent;
      Callback(order_result{call_outcome::Done, start_refusal::None, 0});
    });
  };
}

void simulated_platform::connectVms() {
  Ports.ListVms = [this](const auto &Callback) {
    schedule(Latency, [this, Callback] {
      Callback(vms_result{call_outcome::Done, VmListIncomplete, Vms});
    });
  };
  Ports.OrderVm = [this](const vm_order &Order, const auto &Callback) {
    schedule(Latency, [this, Order, Callback] {
      Callback(Now < Order.SendBy ? orderVm(Order)
                                  : vm_result{call_outcome::Refused, false});
    });
  };
}

vm_result simulated_platform::orderVm(const vm_order &Order) {
  const auto Found = std::ranges::find(Vms, Order.Vm, &vm::Name);
  if (Found != Vms.end() && Order.Pool.empty() &&
      Maintained.contains({Order.Vm, Order.Wave}))
    return {call_outcome::Done, false};
  if (Found == Vms.end() || Found->State != vm_state::Up)
    return {call_outcome::Refused, true};
  if (Order.Pool.empty())
    Maintained.emplace(Order.Vm, Order.Wave);
  VmOrders.push_back(Order);
  const std::string PreviousServer = Found->Server;
  const std::string Pool = Order.Pool.empty() ? Found->Pool : Order.Pool;
  const std::int64_t Cpu = Found->Capacity.Cpu;
  const auto Name = Found->Name;
  Servers.erase(PreviousServer);
  Found->Server.clear();
  Found->State = Order.Pool.empty() ? vm_state::Maintenance : vm_state::Moving;
  schedule(std::chrono::milliseconds{1500}, [this, Name, Pool, Cpu] {
    const auto Back = std::ranges::find(Vms, Name, &vm::Name);
    Back->State = vm_state::Up;
    Back->Pool = Pool;
    const auto *Rule = Rules.pool(Pool);
    if (Rule != nullptr && Rule->Standby)
      return;
    Back->Server = Name + "-" + std::to_string(++NextVm);
    auto &Server = Servers[Back->Server];
    Server.Entry = {
        Back->Server,      "10.0.0.1:1", Pool,      "north", false, 0,
        {Cpu, 1 << 20, 0}, {"a", "r1"},  toMs(Now), 1};
    Server.Vm = Name;
  });
  return {call_outcome::Done, false};
}

simulated_server &simulated_platform::addServer(const std::string &Id,
                                                const std::string &Pool,
                                                const std::int64_t Cpu) {
  auto &Server = Servers[Id];
  Server.Entry = {Id, "10.0.0.1:1",      Pool,        "north", false,
                  0,  {Cpu, 1 << 20, 0}, {"a", "r1"}, 1,       1};
  Server.Vm = "vm-" + Id;
  Vms.push_back({Server.Vm, Pool, vm_state::Up, Id, Server.Entry.Capacity,
                 Server.Entry.Labels});
  return Server;
}

void simulated_platform::elect() {
  ++Epoch;
  StoreEpoch = Epoch;
  latest_result Records;
  Records.Outcome = call_outcome::Done;
  for (const auto &[Key, Value] : Stored)
    Records.Records.push_back({Key, Value});
  leader_settings Settings;
  Settings.Node = "node-" + std::to_string(Epoch);
  Settings.Starts = StartLimits;
  Settings.JobMemory = JobMemory;
  auto State = std::make_unique<leader>(
      Ports, Settings, Epoch, [this] { return Now; },
      [this] { return wallNow() + ClockOffsetMs; },
      [this](std::string_view) { Fenced = true; });
  State->LeadershipConfirmedAt = [this] {
    return LeadershipConfirmed ? Now : LeadershipConfirmedAt;
  };
  State->PredecessorSeenAt = PredecessorSeenAt.value_or(Now);
  Leader = std::make_unique<controller>(std::move(State), Records, Rules);
}

void simulated_platform::endRun(simulated_server &Server, const run_id &Run,
                                const run_outcome Outcome) {
  const auto Found = Server.Running.find(Run);
  if (Found == Server.Running.end())
    return;
  Server.Listed.push_back(
      {++Server.Ends, Run, Outcome, Found->second.Checkpoint});
  auto &HighestClosedRun = Server.HighestClosedRun[Run.Task];
  HighestClosedRun = std::max(HighestClosedRun, Run.Number);
  Server.Running.erase(Found);
}

void simulated_platform::endDueRuns(simulated_server &Server) {
  std::vector<std::pair<run_id, run_outcome>> Ended;
  const bool LeaseExpired =
      Server.LeaseEndMs != 0 && toMs(Now) > Server.LeaseEndMs + Server.KillMs;
  for (const auto &[Run, State] : Server.Running) {
    if (LeaseExpired)
      Ended.emplace_back(Run, run_outcome::LeaseExpired);
    else if (Server.FailsAll)
      Ended.emplace_back(Run, run_outcome::Failed);
    else if (!State.Stalled && Now >= State.EndsAt)
      Ended.emplace_back(Run, run_outcome::Done);
  }
  for (const auto &[Run, Outcome] : Ended)
    endRun(Server, Run, Outcome);
}

std::size_t simulated_platform::countRunning(const task_id &Task) const {
  std::size_t Count = 0;
  for (const auto &[Id, Server] : Servers) {
    for (const auto &[Run, State] : Server.Running)
      Count += Run.Task == Task ? 1 : 0;
  }
  return Count;
}

void simulated_platform::beginRun(simulated_server &Server,
                                  const start_order &Order) {
  const auto *Entry = Leader->state().findJob(Order.Run.Task.Job);
  const step_spec *Step =
      Entry == nullptr ? nullptr : Entry->Job.stepSpec(Order.Run.Task);
  if (Step == nullptr)
    return;
  if (!Step->Speculative && countRunning(Order.Run.Task) > 0)
    Violations.push_back("task runs twice: " + Order.Run.Task.Job);
  if (RecordedDone.contains(Order.Run.Task))
    Violations.push_back("task started after its acknowledged completion: " +
                         Order.Run.Task.Job);
  ++Starts;
  simulated_run Run;
  Run.StartedAt = Now;
  Run.EndsAt =
      Step->LongRunning
          ? time_point::max()
          : Now + duration{static_cast<std::int64_t>(
                      Duration(Order.Run.Task, Step->EstimateMs) * 1000)};
  Run.Checkpoint = Order.Checkpoint;
  Server.Running[Order.Run] = Run;
  resources Used;
  for (const auto &[Each, State] : Server.Running) {
    const auto *Other = Leader->state().findJob(Each.Task.Job);
    const step_spec *Charged =
        Other == nullptr ? nullptr : Other->Job.stepSpec(Each.Task);
    if (Charged != nullptr)
      Used += server::chargedResources(Charged->Size, Charged->BestEffort);
  }
  if (!Used.fits(Server.Entry.Capacity))
    Violations.push_back("capacity exceeded: " + Server.Entry.Id);
}

order_result simulated_platform::start(const start_order &Order) {
  const auto Found = Servers.find(Order.Server.Id);
  if (Found == Servers.end())
    return {call_outcome::Replaced, start_refusal::None, 0};
  simulated_server &Server = Found->second;
  if (isReplaced(Server, Order))
    return {call_outcome::Replaced, start_refusal::None, 0};
  if (Server.RefusesStarts)
    return {call_outcome::Refused, start_refusal::Unavailable, 0};
  if (Order.Epoch < Server.Epoch)
    return {call_outcome::Fenced, start_refusal::None, 0};
  Server.Epoch = Order.Epoch;
  endDueRuns(Server);
  Server.LeaseEndMs = std::max(Server.LeaseEndMs, Order.LeaseEndMs);
  // The protocol permits judging by the lease in force, which newer orders may
  // have extended.
  if (toMs(Now) > Server.LeaseEndMs)
    return {call_outcome::Refused, start_refusal::Late, 0};
  if (Server.Running.contains(Order.Run))
    return {call_outcome::Done, start_refusal::None, 0};
  const auto HighestClosedRun = Server.HighestClosedRun.find(Order.Run.Task);
  if (HighestClosedRun != Server.HighestClosedRun.end() &&
      Order.Run.Number <= HighestClosedRun->second)
    return {call_outcome::Refused, start_refusal::Superseded, 0};
  if (!isTicketValid(Order)) {
    ++TicketsRefused;
    return {call_outcome::Refused, start_refusal::Ticket, 0};
  }
  beginRun(Server, Order);
  return {call_outcome::Done, start_refusal::None, 0};
}

order_result simulated_platform::stop(const stop_order &Order) {
  const auto Found = Servers.find(Order.Server.Id);
  if (Found == Servers.end())
    return {call_outcome::Replaced, start_refusal::None, 0};
  simulated_server &Server = Found->second;
  if (isReplaced(Server, Order))
    return {call_outcome::Replaced, start_refusal::None, 0};
  if (Order.Epoch < Server.Epoch)
    return {call_outcome::Fenced, start_refusal::None, 0};
  Server.Epoch = Order.Epoch;
  endRun(Server, Order.Run, run_outcome::Stopped);
  auto &HighestClosedRun = Server.HighestClosedRun[Order.Run.Task];
  HighestClosedRun = std::max(HighestClosedRun, Order.Run.Number);
  return {call_outcome::Done, start_refusal::None, 0};
}

heartbeat_result simulated_platform::heartbeat(const heartbeat_order &Order) {
  heartbeat_result Result;
  const auto Found = Servers.find(Order.Server.Id);
  if (Found == Servers.end()) {
    Result.Outcome = call_outcome::Replaced;
    return Result;
  }
  simulated_server &Server = Found->second;
  if (isReplaced(Server, Order)) {
    Result.Outcome = call_outcome::Replaced;
    return Result;
  }
  if (Order.Epoch < Server.Epoch) {
    Result.Outcome = call_outcome::Fenced;
    return Result;
  }
  Server.Epoch = Order.Epoch;
  endDueRuns(Server);
  if (Order.LeaseEndMs != 0)
    Server.LeaseEndMs = std::max(Server.LeaseEndMs, Order.LeaseEndMs);
  for (const auto &Each : Server.Listed) {
    if (Each.Number <= Order.LastStoredEnd && Each.Outcome == run_outcome::Done)
      RecordedDone.insert(Each.Run.Task);
  }
  std::erase_if(Server.Listed, [&](const listed_end &Each) {
    return Each.Number <= Order.LastStoredEnd;
  });
  Result.Outcome = call_outcome::Done;
  Result.ClockMs = toMs(Now);
  Result.StartedAtMs = Server.Entry.StartedAtMs;
  for (const auto &[Run, State] : Server.Running)
    Result.Running.push_back({Run, State.Checkpoint,
                              Now >= State.StartedAt + StartupTime ? 100U : 0U,
                              gaugeOf(Server, Run)});
  Result.Ends = Server.Listed;
  if (Result.Ends.size() >= EndsPerResponse) {
    Result.Ends.resize(EndsPerResponse);
    Result.EndsTruncated = true;
  }
  return Result;
}

void simulated_platform::step(const duration LoopDelay) {
  for (auto &[Id, Server] : Servers)
    endDueRuns(Server);
  if (!Leader || Fenced)
    return;
  std::vector<registration> Registered;
  for (const auto &[Id, Server] : Servers) {
    if (!Server.Unregistered)
      Registered.push_back(Server.Entry);
  }
  Leader->setRegistrations(Registered);
  Leader->setVms({call_outcome::Done, VmListIncomplete, Vms}, Now);
  Leader->tick(LoopDelay);
}

void simulated_platform::advance(const duration Time) {
  const time_point End = Now + Time;
  time_point TickDue = Now + TickInterval;
  while (Now < End) {
    // A turn of the loop handles the events that are due when it begins.
    const bool Behind =
        EventCost.count() > 0 && !Events.empty() && Events.begin()->first < Now;
    if (!Behind)
      Now = std::max(Now, TickDue);
    const time_point TurnBegin = Now;
    while (!Events.empty() && Events.begin()->first <= TurnBegin) {
      const auto Call = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Call();
      Now += EventCost;
      if (Leader && !Fenced)
        Leader->dispatchAndFlush();
    }
    if (Now < TickDue)
      continue;
    LongestLoopDelay = std::max<duration>(LongestLoopDelay, Now - TickDue);
    step(Now - TickDue);
    TickDue = Now + TickInterval;
  }
}

std::optional<caller_reply>
simulated_platform::submit(const std::string &Queue, const std::string &Id,
                           const job_spec &Spec, const std::uint64_t KnownSince,
                           const std::string &Customer) {
  auto Reply = std::make_shared<std::optional<caller_reply>>();
  Leader->submit({Queue, KnownSince, Id, Spec, Customer},
                 [Reply](const caller_reply &Result) { *Reply = Result; });
  Leader->dispatchAndFlush();
  advance(std::chrono::milliseconds{40});
  return *Reply;
}

job_state simulated_platform::stateOf(const std::string &Id) const {
  const job_entry *Entry = Leader->state().findJob(Id);
  const std::string Owner = Entry == nullptr ? "" : Entry->Job.customer();
  return Leader->query({Id, "", Owner}).State;
}

std::size_t simulated_platform::countServing(const std::string &Job,
                                             const std::uint32_t Count) const {
  std::set<std::uint32_t> Serving;
  for (const auto &[Id, Server] : Servers) {
    for (const auto &[Run, State] : Server.Running) {
      if (Run.Task.Job == Job && Run.Task.Index < Count &&
          Now >= State.StartedAt + StartupTime)
        Serving.insert(Run.Task.Index);
    }
  }
  return Serving.size();
}

wall_ms simulated_platform::wallNow() const { return WallStart + toMs(Now); }

void simulated_platform::crash(const std::string &Id) { Servers.erase(Id); }

void simulated_platform::restart(const std::string &Id) {
  simulated_server &Server = Servers.at(Id);
  simulated_server Restarted;
  Restarted.Entry = Server.Entry;
  Restarted.Entry.StartedAtMs = toMs(Now);
  Restarted.Vm = Server.Vm;
  Server = std::move(Restarted);
}

} // namespace galenalink::test
