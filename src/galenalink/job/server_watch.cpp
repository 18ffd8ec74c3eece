#include "galenalink/job/server_watch.hpp"
#include "galenalink/job/runs.hpp"
#include "galenalink/telemetry/log.hpp"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace galenalink::job {

namespace {

constexpr telemetry::logger Log{"servers"};

/** How long a hold waits for an end where something runs, and elsewhere. A
 * dead backend server is noticed when a hold has no answer. */
constexpr std::uint32_t BusyWaitMs = 600;
constexpr std::uint32_t IdleWaitMs = 2000;
/** Pause between holds, which gathers ends that come close together. */
constexpr duration HoldPause = std::chrono::milliseconds{15};
/** Next hold while ends are not stored. */
constexpr duration UnrecordedPause = std::chrono::milliseconds{400};
/** Pause after a hold without an answer. */
constexpr duration FailurePause = std::chrono::milliseconds{200};
/** Taken by a run of unknown size: more than any backend server has, whose
 * capacity may not be known yet either. */
constexpr resources UnknownSize{std::int64_t{1} << 30, std::int64_t{1} << 30,
                                0};
/** Slowest clock allowed, as the real time of a millisecond on it. */
constexpr double SlowestClock = 1.0 / 0.98;

std::string serverKey(const std::string &Id) { return "s" + Id; }

std::string toRecord(const registration &Entry) {
  const auto Bytes = nlohmann::json::to_cbor(
      nlohmann::json::array({Entry.Address, Entry.Pool, Entry.StartedAtMs}));
  return {Bytes.begin(), Bytes.end()};
}

/** @brief Has the store know of the backend server before anything starts
 * there. */
void recordServer(leader &Leader, server &Server) {
  if (Server.Recorded || Server.RecordSent)
    return;
  Server.RecordSent = true;
  Leader.Journal.put(
      serverKey(Server.Entry.Id),
      [Text = toRecord(Server.Entry)] { return std::optional{Text}; });
  Leader.Journal.whenStored([&Leader, Id = Server.Entry.Id] {
    server *Found = Leader.findServer(Id);
    if (Found == nullptr)
      return;
    Found->Recorded = true;
    Leader.NeedsDispatch = true;
  });
}

void addServer(leader &Leader, const registration &Entry) {
  auto &Slot = Leader.Servers[Entry.Id];
  Slot = std::make_unique<server>();
  Slot->Entry = Entry;
  Slot->Registered = true;
  Slot->HoldDue = Leader.Now();
  recordServer(Leader, *Slot);
  Log.info("backend server registered",
           {{"server", Entry.Id},
            {"address", Entry.Address},
            {"pool", Entry.Pool},
            {"born", static_cast<std::uint64_t>(Entry.StartedAtMs)}});
}

void updateServer(leader &Leader, server &Server, const registration &Entry) {
  const bool Reborn = Entry.StartedAtMs != 0 && Server.Entry.StartedAtMs != 0 &&
                      Entry.StartedAtMs != Server.Entry.StartedAtMs;
  if (Reborn) {
    loseServer(Leader, Server, "it started again under its id");
    addServer(Leader, Entry);
    return;
  }
  if (Entry.Draining && !Server.Entry.Draining)
    Log.info("backend server drains",
             {{"server", Entry.Id},
              {"remaining_ms", static_cast<std::uint64_t>(Entry.RemainingMs)},
              {"runs", Server.Runs.size()}});
  Server.Entry = Entry;
  Server.Registered = true;
  Server.MissingSince = NoDeadline;
  recordServer(Leader, Server);
}

/** @brief A run that the backend server lists and the tables do not have. */
void adoptRun(leader &Leader, server &Server, const listed_run &Listed) {
  job_entry *Entry = Leader.findJob(Listed.Run.Task.Job);
  const step_spec *Step =
      Entry == nullptr ? nullptr : Entry->Job.stepSpec(Listed.Run.Task);
  run Run;
  Run.State = run_state::Running;
  Run.SentAt = Leader.Now();
  Run.ExpectedEnd = Leader.Now();
  Run.ProgressAt = Leader.Now();
  if (Step != nullptr) {
    Run.Size = Step->Size;
    Run.LongRunning = Step->LongRunning;
    Run.BestEffort = Step->BestEffort;
    Run.TargetMs = Step->TargetMs;
  } else {
    // The job has ended and its tasks' sizes are not kept: while the run is
    // being stopped nothing else fits beside it for sure.
    Run.Size = UnknownSize;
  }
  // The leader before may have set any share.
  Run.PaceKnown = !Run.BestEffort;
  Server.addRun(Listed.Run, Run);
  const bool Wanted = Entry != nullptr && Entry->Job.needsRun(Listed.Run.Task);
  task *Task = Wanted ? Entry->Job.find(Listed.Run.Task) : nullptr;
  Log.info("run adopted", {{"job", Listed.Run.Task.Job},
                           {"run", Listed.Run.Number},
                           {"server", Server.Entry.Id},
                           {"wanted", Wanted ? "yes" : "no"}});
  if (Task == nullptr || (Task->Runs > 0 && !Step->Speculative)) {
    if (Task != nullptr)
      ++Task->Runs;
    stopRun(Leader, Server, Listed.Run);
    return;
  }
  ++Task->Runs;
  Task->LastRun = std::max(Task->LastRun, Listed.Run.Number);
  Entry->Job.markStarted();
}

void takeRunning(leader &Leader, server &Server,
                 const heartbeat_result &Result) {
  for (const auto &Listed : Result.Running) {
    if (!Server.Runs.contains(Listed.Run))
      adoptRun(Leader, Server, Listed);
    run &Run = Server.Runs.at(Listed.Run);
    if (Run.StartConfirmedAt == NoDeadline)
      Run.StartConfirmedAt = Leader.Now();
    if (Run.State == run_state::Starting)
      Run.State = run_state::Running;
    if (Run.Percent != Listed.Percent || Run.ProgressAt == time_point{}) {
      Run.Percent = Listed.Percent;
      Run.ProgressAt = Leader.Now();
    }
    Run.Gauge = Listed.Gauge;
    job_entry *Entry = Leader.findJob(Listed.Run.Task.Job);
    task *Task = Entry == nullptr ? nullptr : Entry->Job.find(Listed.Run.Task);
    if (Task != nullptr && !Listed.Checkpoint.empty() && !Task->Done)
      Task->Checkpoint = Listed.Checkpoint;
  }
}

/** @brief Releases runs that must be listed if they existed. */
void releaseVanished(leader &Leader, server &Server,
                     const heartbeat_result &Result) {
  std::set<run_id> Listed;
  for (const auto &Each : Result.Running)
    Listed.insert(Each.Run);
  std::vector<run_id> Gone;
  for (const auto &[Id, Run] : Server.Runs) {
    const bool Started = Run.StartConfirmedAt != NoDeadline &&
                         Run.StartConfirmedAt < Server.HoldSentAt;
    const bool Stopped = Run.StopConfirmedAt != NoDeadline &&
                         Run.StopConfirmedAt < Server.HoldSentAt;
    if ((Started || Stopped) && !Listed.contains(Id))
      Gone.push_back(Id);
  }
  for (const auto &Id : Gone)
    releaseRun(Leader, Server, Id);
}

void takeEnds(leader &Leader, server &Server, const heartbeat_result &Result) {
  std::uint64_t Newest = Server.SeenEnds;
  for (const auto &End : Result.Ends) {
    if (End.Number <= Server.SeenEnds)
      continue;
    Newest = std::max(Newest, End.Number);
    applyEnd(Leader, Server, End);
  }
  Server.SeenEnds = Newest;
  if (Newest == Server.RecordedEnds)
    return;
  // The backend server forgets an end once it is told; the store must know
  // what the end did before that.
  Leader.Journal.whenStored(
      [&Leader, Id = Server.Entry.Id, Newest, Born = Server.Entry.StartedAtMs] {
        server *Found = Leader.findServer(Id);
        if (Found == nullptr || Found->Entry.StartedAtMs != Born)
          return;
        server &Stored = *Found;
        Stored.RecordedEnds = std::max(Stored.RecordedEnds, Newest);
        Stored.HoldDue = Leader.Now();
      });
}

void takeAnswer(leader &Leader, server &Server,
                const heartbeat_result &Result) {
  if (Server.HoldFailures > 0)
    Log.info("backend server answers again",
             {{"server", Server.Entry.Id}, {"failures", Server.HoldFailures}});
  Server.HoldFailures = 0;
  Server.ListedAt = Leader.Now();
  Server.Lease.sample(Result.ClockMs, Leader.Now());
  takeEnds(Leader, Server, Result);
  takeRunning(Leader, Server, Result);
  releaseVanished(Leader, Server, Result);
  Server.UnknownUntil = NoDeadline;
  if (!Server.Usable) {
    // Runs of an earlier leader are under a lease of at most the same length.
    if (!Server.Runs.empty())
      static_cast<void>(
          Server.Lease.extend(Leader.Now(), Leader.Settings.Lease));
    Server.Usable = true;
    Leader.NeedsDispatch = true;
  }
  const bool Unrecorded = Server.SeenEnds != Server.RecordedEnds;
  Server.HoldDue = Leader.Now() + (Unrecorded ? UnrecordedPause : HoldPause);
  repeatStops(Leader, Server);
}

void holdAnswered(leader &Leader, const std::string &Id,
                  const std::int64_t Born, const heartbeat_result &Result) {
  server *Found = Leader.findServer(Id);
  if (Found == nullptr || Found->Entry.StartedAtMs != Born)
    return;
  server &Server = *Found;
  Server.HoldOpen = false;
  const bool Reborn =
      Result.StartedAtMs != 0 && Born != 0 && Result.StartedAtMs != Born;
  if (Result.Outcome == call_outcome::Fenced) {
    Leader.OnFenced();
    return;
  }
  if (Result.Outcome == call_outcome::Replaced || Reborn) {
    loseServer(Leader, Server,
               Reborn ? "it started again under its id"
                      : "another incarnation at its address");
    Server.UnknownUntil = NoDeadline;
    Server.HoldDue = Leader.Now() + UnrecordedPause;
    return;
  }
  if (Result.Outcome == call_outcome::Done) {
    takeAnswer(Leader, Server, Result);
    return;
  }
  ++Server.HoldFailures;
  Server.HoldDue = Leader.Now() + FailurePause;
  if (Server.HoldFailures == 1)
    Log.warning(
        "hold without an answer",
        {{"server", Id},
         {"outcome", std::string{nameOf(CallOutcomeNames, Result.Outcome)}},
         {"runs", Server.Runs.size()}});
}

void sendHold(leader &Leader, server &Server) {
  const time_point Now = Leader.Now();
  heartbeat_order Order;
  Order.Server = Server.target();
  Order.Epoch = Leader.Epoch;
  Order.RecordedEnds = Server.RecordedEnds;
  // A lease that is given without an answer could last as long as the silence
  // does, so it is not extended then.
  const bool Extend = Server.Usable && Server.HoldFailures == 0 &&
                      Server.Lease.known() && !Server.Runs.empty();
  if (Extend)
    Order.LeaseEndMs = Server.Lease.extend(Now, Leader.Settings.Lease);
  const bool Quick = !Server.Usable || Server.HoldFailures > 0 ||
                     Server.SeenEnds != Server.RecordedEnds;
  Order.WaitMs = Quick ? 0 : Server.Runs.empty() ? IdleWaitMs : BusyWaitMs;
  Server.HoldOpen = true;
  Server.HoldSentAt = Now;
  Leader.Ports.Heartbeat(Order,
                         Leader.guarded([&Leader, Id = Server.Entry.Id,
                                         Born = Server.Entry.StartedAtMs](
                                            const heartbeat_result &Result) {
                           holdAnswered(Leader, Id, Born, Result);
                         }));
}

/** @return Whether the backend server can be forgotten. */
bool watchServer(leader &Leader, server &Server) {
  const time_point Now = Leader.Now();
  if (Server.HoldFailures > 0 && !Server.Runs.empty() &&
      Now >= Server.Lease.expiry())
    loseServer(Leader, Server, "its lease has passed");
  if (!Server.HoldOpen && Now >= Server.HoldDue)
    sendHold(Leader, Server);
  const bool Missing =
      !Server.Registered && Server.MissingSince != NoDeadline &&
      Now >= Server.MissingSince + Leader.Settings.RegistrationGrace;
  return Missing && Server.Runs.empty() && Now >= Server.UnknownUntil &&
         Server.SeenEnds == Server.RecordedEnds;
}

} // namespace

void updateRegistrations(leader &Leader,
                         const std::vector<registration> &Registrations) {
  std::set<std::string> Present;
  for (const auto &Entry : Registrations) {
    Present.insert(Entry.Id);
    const auto Found = Leader.Servers.find(Entry.Id);
    if (Found == Leader.Servers.end())
      addServer(Leader, Entry);
    else
      updateServer(Leader, *Found->second, Entry);
  }
  for (auto &[Id, Server] : Leader.Servers) {
    if (Present.contains(Id))
      continue;
    Server->Registered = false;
    if (Server->MissingSince == NoDeadline)
      Server->MissingSince = Leader.Now();
  }
  Leader.NeedsDispatch = true;
}

void updateVms(leader &Leader, const std::vector<vm> &Vms) {
  for (const auto &Vm : Vms) {
    if (const auto Found = Leader.Servers.find(Vm.Server);
        Found != Leader.Servers.end())
      Found->second->Vm = Vm.Name;
    for (auto &[Id, Server] : Leader.Servers) {
      const bool Ended = Server->Vm == Vm.Name &&
                         (Id != Vm.Server || Vm.State != vm_state::Up);
      if (!Ended || (Server->Runs.empty() && !Server->Usable))
        continue;
      loseServer(Leader, *Server,
                 "its VM is " + std::string{nameOf(VmStateNames, Vm.State)});
      Server->UnknownUntil = NoDeadline;
    }
  }
}

void watchServers(leader &Leader) {
  std::vector<std::string> Forgotten;
  for (auto &[Id, Server] : Leader.Servers) {
    if (watchServer(Leader, *Server))
      Forgotten.push_back(Id);
  }
  for (const auto &Id : Forgotten) {
    Log.info("backend server forgotten", {{"server", Id}});
    Leader.Journal.put(serverKey(Id),
                       [] { return std::optional<std::string>{}; });
    Leader.Servers.erase(Id);
  }
}

void recoverServer(leader &Leader, const std::string &Id,
                   const std::string_view Record) {
  registration Entry;
  Entry.Id = Id;
  try {
    const auto From = nlohmann::json::from_cbor(Record);
    Entry.Address = From.at(0);
    Entry.Pool = From.at(1);
    Entry.StartedAtMs = From.at(2);
  } catch (const nlohmann::json::exception &Error) {
    Log.error("record of a backend server can't be read",
              {{"server", Id}, {"error", Error.what()}});
  }
  auto &Slot = Leader.Servers[Id];
  Slot = std::make_unique<server>();
  Slot->Entry = Entry;
  Slot->Recorded = true;
  Slot->MissingSince = Leader.Now();
  Slot->HoldDue = Leader.Now();
  const auto Longest =
      static_cast<double>(Leader.Settings.Lease.count()) * SlowestClock;
  Slot->UnknownUntil = Leader.Now() +
                       duration{static_cast<std::int64_t>(Longest)} +
                       FailurePause;
}

bool runsUnknown(const leader &Leader, const std::string_view Pool) {
  return std::ranges::any_of(Leader.Servers, [&](const auto &Each) {
    const server &Server = *Each.second;
    return Server.Entry.Pool == Pool && Leader.Now() < Server.UnknownUntil;
  });
}

} // namespace galenalink::job
