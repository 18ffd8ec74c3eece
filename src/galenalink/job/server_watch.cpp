#include "galenalink/job/server_watch.hpp"
#include "galenalink/job/json_fields.hpp"
#include "galenalink/job/runs.hpp"
#include "galenalink/telemetry/log.hpp"
#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace galenalink::job {

namespace {

constexpr telemetry::logger Log{"servers"};

/** Long-poll time of a heartbeat, with runs and without: the backend server may
 * delay its response this long until a run ends. A failure of the backend
 * server shows as a missing response. */
constexpr std::uint32_t HeartbeatWaitBusyMs = 600;
constexpr std::uint32_t HeartbeatWaitIdleMs = 2000;
/** Time between a heartbeat response and the next heartbeat; run ends that are
 * close together share a response. */
constexpr duration HeartbeatInterval = std::chrono::milliseconds{15};
/** Time to the next heartbeat while run ends are not stored yet. */
constexpr duration UnrecordedInterval = std::chrono::milliseconds{400};
/** Time to the next heartbeat after one without a response. */
constexpr duration RetryInterval = std::chrono::milliseconds{200};
/** Reserved for a run of unknown size: more than any backend server has, since
 * its capacity may not be known yet either. */
constexpr resources UnknownSize{std::int64_t{1} << 30, std::int64_t{1} << 30,
                                0};
/** How long a replaced leader that the store does not serve may go on renewing
 * leases: until a backend server that its successor has contacted rejects it.
 */
constexpr duration FormerLeaderOverlap = std::chrono::milliseconds{1000};
/** Local time per unit of time on the slowest permitted clock. */
constexpr double MaxClockStretch = 1.0 / 0.98;

std::string serverKey(const std::string &Id) { return "s" + Id; }

std::string toRecord(const registration &Entry) {
  const auto Bytes = nlohmann::json::to_cbor(
      nlohmann::json::array({Entry.Address, Entry.Pool, Entry.StartedAtMs}));
  return {Bytes.begin(), Bytes.end()};
}

/** @brief Stores a record of the backend server, before anything is started
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
    requestDispatch(Leader, Found->Entry.Pool);
  });
}

void addRegisteredServer(leader &Leader, const registration &Entry) {
  server &Server = addServer(Leader, Entry);
  Server.Registered = true;
  Server.HeartbeatDue = Leader.Now();
  recordServer(Leader, Server);
  Log.info("backend server registered",
           {{"server", Entry.Id},
            {"address", Entry.Address},
            {"pool", Entry.Pool},
            {"born", static_cast<std::uint64_t>(Entry.StartedAtMs)}});
}

void updateServer(leader &Leader, server &Server, const registration &Entry) {
  if (Server.Registered && Server.Entry == Entry)
    return;
  const bool Restarted = Entry.StartedAtMs != 0 &&
                         Server.Entry.StartedAtMs != 0 &&
                         Entry.StartedAtMs != Server.Entry.StartedAtMs;
  if (Restarted) {
    markServerLost(Leader, Server, "restarted under its id");
    addRegisteredServer(Leader, Entry);
    return;
  }
  if (Entry.Draining && !Server.Entry.Draining)
    Log.info("backend server is draining",
             {{"server", Entry.Id},
              {"remaining_ms", static_cast<std::uint64_t>(Entry.RemainingMs)},
              {"runs", Server.Runs.size()}});
  setRegistration(Leader, Server, Entry);
  Server.Registered = true;
  Server.MissingSince = NoDeadline;
  recordServer(Leader, Server);
  requestDispatch(Leader, Entry.Pool);
}

/** @brief Adds a run that the backend server lists but the leader does not
 * know, and stops it if it is not needed. */
run &adoptRun(leader &Leader, server &Server, const listed_run &Listed) {
  job_entry *Entry = Leader.findJob(Listed.Run.Task.Job);
  if (Entry != nullptr)
    openReportedOccurrence(Leader, *Entry, Listed.Run.Task.Occurrence);
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
    // The job has ended and the sizes of its tasks are not kept, so nothing
    // else is placed on the backend server while the run is being stopped.
    Run.Size = UnknownSize;
  }
  // An earlier leader may have set any pace.
  Run.PaceConfirmed = !Run.BestEffort;
  run &Adopted = Server.addRun(Listed.Run, Run);
  const bool Needed = Entry != nullptr && Entry->Job.needsRun(Listed.Run.Task);
  task *Task = Needed ? Entry->Job.find(Listed.Run.Task) : nullptr;
  Log.info("run adopted", {{"job", Listed.Run.Task.Job},
                           {"run", Listed.Run.Number},
                           {"server", Server.Entry.Id},
                           {"wanted", Needed ? "yes" : "no"}});
  if (Task == nullptr || (Task->Runs > 0 && !Step->Speculative)) {
    if (Task != nullptr)
      ++Task->Runs;
    stopRun(Leader, Server, Listed.Run);
    return Adopted;
  }
  ++Task->Runs;
  Task->LastRun = std::max(Task->LastRun, Listed.Run.Number);
  Entry->Job.markStarted();
  return Adopted;
}

/** @brief Applies that the backend server lists a run as running. A run that
 * was being stopped only because its start was not confirmed is kept, unless
 * the stop may take effect yet. */
void confirmListedRun(const leader &Leader, const run_id &Id, run &Run) {
  if (Run.StartConfirmedAt == NoDeadline)
    Run.StartConfirmedAt = Leader.Now();
  if (Run.State == run_state::Unconfirmed) {
    const bool BeingStopped = Run.StopSent || Run.StopConfirmedAt != NoDeadline;
    if (BeingStopped)
      return;
    job_entry *Entry = Leader.findJob(Id.Task.Job);
    if (Entry != nullptr && Entry->Job.needsRun(Id.Task))
      Run.StopRequested = false;
  }
  Run.confirmStart();
}

void applyRunningRuns(leader &Leader, server &Server,
                      const heartbeat_result &Result) {
  for (const auto &Listed : Result.Running) {
    run *Known = Server.findRun(Listed.Run);
    run &Run = Known != nullptr ? *Known : adoptRun(Leader, Server, Listed);
    Run.LastListing = Server.Listings;
    confirmListedRun(Leader, Listed.Run, Run);
    if (Run.Percent != Listed.Percent || Run.ProgressAt == time_point{}) {
      Run.Percent = Listed.Percent;
      Run.ProgressAt = Leader.Now();
    }
    Run.Gauge = Listed.Gauge;
    if (Listed.Checkpoint.empty())
      continue;
    job_entry *Entry = Leader.findJob(Listed.Run.Task.Job);
    task *Task = Entry == nullptr ? nullptr : Entry->Job.find(Listed.Run.Task);
    if (Task != nullptr && !Task->Done)
      Task->Checkpoint = Listed.Checkpoint;
  }
}

/** @brief Releases runs that are not listed although their start or stop was
 * confirmed before the heartbeat was sent. All ends must be listed: otherwise
 * the end of a run may be among those that follow. */
void releaseMissingRuns(leader &Leader, server &Server) {
  std::vector<run_id> MissingRuns;
  for (const auto &[Id, Run] : Server.Runs) {
    const bool Started = Run.StartConfirmedAt != NoDeadline &&
                         Run.StartConfirmedAt < Server.HeartbeatSentAt;
    const bool Stopped = Run.StopConfirmedAt != NoDeadline &&
                         Run.StopConfirmedAt < Server.HeartbeatSentAt;
    if ((Started || Stopped) && Run.LastListing != Server.Listings)
      MissingRuns.push_back(Id);
  }
  for (const auto &Id : MissingRuns)
    releaseRun(Leader, Server, Id);
}

/** @brief Keeps recovered tasks of the backend server's pool from starting
 * until it has listed its runs and all its ends, or until their leases have
 * expired. */
void awaitUnknownRuns(leader &Leader, server &Server) {
  const auto Longest =
      static_cast<double>(Leader.Settings.Lease.count()) * MaxClockStretch;
  Server.RunsUnknownUntil = Leader.Now() + FormerLeaderOverlap +
                            duration{static_cast<std::int64_t>(Longest)} +
                            RetryInterval;
  Leader.AllRunsKnownAt =
      std::max(Leader.AllRunsKnownAt, Server.RunsUnknownUntil);
}

void applyRunEnds(leader &Leader, server &Server,
                  const heartbeat_result &Result) {
  std::uint64_t Newest = Server.LastAppliedEnd;
  for (const auto &End : Result.Ends) {
    if (End.Number <= Server.LastAppliedEnd)
      continue;
    Newest = std::max(Newest, End.Number);
    applyRunEnd(Leader, Server, End);
  }
  Server.LastAppliedEnd = Newest;
  if (Newest == Server.LastStoredEnd)
    return;
  // The backend server discards a run end once it is acknowledged, so the
  // effects of the end must be stored first.
  Leader.Journal.whenStored([&Leader, Id = Server.Entry.Id, Newest,
                             StartedMs = Server.Entry.StartedAtMs] {
    server *Found = Leader.findServer(Id);
    if (Found == nullptr || Found->Entry.StartedAtMs != StartedMs)
      return;
    server &Stored = *Found;
    Stored.LastStoredEnd = std::max(Stored.LastStoredEnd, Newest);
    Stored.HeartbeatDue = Leader.Now();
  });
}

void applyHeartbeatResult(leader &Leader, server &Server,
                          const heartbeat_result &Result) {
  if (Server.HeartbeatFailures > 0)
    Log.info(
        "heartbeat responses resumed",
        {{"server", Server.Entry.Id}, {"failures", Server.HeartbeatFailures}});
  Server.HeartbeatFailures = 0;
  Server.ListedAt = Leader.Now();
  ++Server.Listings;
  Server.Lease.recordClock(Result.ClockMs, Leader.Now());
  applyRunEnds(Leader, Server, Result);
  applyRunningRuns(Leader, Server, Result);
  if (!Result.EndsTruncated) {
    releaseMissingRuns(Leader, Server);
    Server.RunsUnknownUntil = NoDeadline;
  } else if (Server.RunsUnknownUntil != NoDeadline) {
    awaitUnknownRuns(Leader, Server);
  }
  if (!Server.Synced) {
    // Runs of an earlier leader have a lease of at most the same length.
    if (!Server.Runs.empty())
      static_cast<void>(
          Server.Lease.extend(Leader.Now(), Leader.Settings.Lease));
    Server.Synced = true;
    requestDispatch(Leader, Server.Entry.Pool);
  }
  const bool Unrecorded = Server.LastAppliedEnd != Server.LastStoredEnd;
  Server.HeartbeatDue =
      Leader.Now() + (Unrecorded ? UnrecordedInterval : HeartbeatInterval);
  resendStops(Leader, Server);
}

void onHeartbeatResponse(leader &Leader, const std::string &Id,
                         const std::int64_t StartedMs,
                         const heartbeat_result &Result) {
  server *Found = Leader.findServer(Id);
  if (Found == nullptr || Found->Entry.StartedAtMs != StartedMs)
    return;
  server &Server = *Found;
  Server.HeartbeatPending = false;
  const bool Restarted = Result.StartedAtMs != 0 && StartedMs != 0 &&
                         Result.StartedAtMs != StartedMs;
  if (Result.Outcome == call_outcome::Fenced) {
    Leader.OnFenced();
    return;
  }
  if (Result.Outcome == call_outcome::Replaced || Restarted) {
    markServerLost(Leader, Server,
                   Restarted ? "restarted under its id"
                             : "another incarnation serves its address");
    Server.RunsUnknownUntil = NoDeadline;
    Server.HeartbeatDue = Leader.Now() + UnrecordedInterval;
    return;
  }
  // A run that is missing from an incomplete list may still exist, and an end
  // behind one that is missing must not be acknowledged. Without a complete
  // list the leases of the runs expire.
  if (Result.Outcome == call_outcome::Done && !Result.Incomplete) {
    applyHeartbeatResult(Leader, Server, Result);
    return;
  }
  ++Server.HeartbeatFailures;
  Server.HeartbeatDue = Leader.Now() + RetryInterval;
  if (Server.HeartbeatFailures == 1)
    Log.warning(
        "heartbeat without a response",
        {{"server", Id},
         {"outcome", std::string{nameOf(CallOutcomeNames, Result.Outcome)}},
         {"runs", Server.Runs.size()}});
}

void sendHeartbeat(leader &Leader, server &Server) {
  const time_point Now = Leader.Now();
  heartbeat_order Order;
  Order.Server = Server.target();
  Order.Epoch = Leader.Epoch;
  Order.LastStoredEnd = Server.LastStoredEnd;
  // The lease is not extended while heartbeats fail; otherwise it would never
  // expire on a backend server that does not respond.
  const bool Extend = Server.Synced && Server.HeartbeatFailures == 0 &&
                      Server.Lease.hasClock() && !Server.Runs.empty();
  if (Extend)
    Order.LeaseEndMs = Server.Lease.extend(Now, Leader.Settings.Lease);
  const bool Immediate = !Server.Synced || Server.HeartbeatFailures > 0 ||
                         Server.LastAppliedEnd != Server.LastStoredEnd;
  Order.WaitMs = Immediate             ? 0
                 : Server.Runs.empty() ? HeartbeatWaitIdleMs
                                       : HeartbeatWaitBusyMs;
  Server.HeartbeatPending = true;
  Server.HeartbeatSentAt = Now;
  Leader.Ports.Heartbeat(Order,
                         Leader.guarded([&Leader, Id = Server.Entry.Id,
                                         StartedMs = Server.Entry.StartedAtMs](
                                            const heartbeat_result &Result) {
                           onHeartbeatResponse(Leader, Id, StartedMs, Result);
                         }));
}

/** @brief Sends the heartbeats that have been due for longest; the others wait
 * for the next pass. A new leader thus adopts the runs of its backend servers
 * in portions, with time for other events in between. */
void sendHeartbeats(leader &Leader, std::vector<server *> &Due) {
  const std::size_t Count =
      std::min(Due.size(), Leader.Settings.MaxHeartbeatsPerPass);
  const auto DueAt = [](const server *Each) { return Each->HeartbeatDue; };
  std::ranges::partial_sort(
      Due, Due.begin() + static_cast<std::ptrdiff_t>(Count), {}, DueAt);
  for (std::size_t I = 0; I < Count; ++I)
    sendHeartbeat(Leader, *Due[I]);
}

/** @brief Checks the lease and whether a heartbeat is due.
 * @param Due Receives the backend server if a heartbeat is due.
 * @return Whether the backend server can be removed. */
bool watchServer(leader &Leader, server &Server, const time_point Now,
                 std::vector<server *> &Due) {
  if (Server.HeartbeatFailures > 0 && !Server.Runs.empty() &&
      Now >= Server.Lease.expiry())
    markServerLost(Leader, Server, "lease expired");
  if (!Server.HeartbeatPending && Now >= Server.HeartbeatDue)
    Due.push_back(&Server);
  const bool Missing =
      !Server.Registered && Server.MissingSince != NoDeadline &&
      Now >= Server.MissingSince + Leader.Settings.RegistrationGrace;
  return Missing && Server.Runs.empty() && Now >= Server.RunsUnknownUntil &&
         Server.LastAppliedEnd == Server.LastStoredEnd;
}

} // namespace

void updateRegistrations(leader &Leader,
                         const std::vector<registration> &Registrations) {
  std::unordered_set<std::string_view> Present;
  for (const auto &Entry : Registrations) {
    Present.insert(Entry.Id);
    const auto Found = Leader.Servers.find(Entry.Id);
    if (Found == Leader.Servers.end())
      addRegisteredServer(Leader, Entry);
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
}

namespace {

/** @brief Ends the wait for runs of backend servers that have left with their
 * VMs: a complete list of VMs names each one that is running. */
void forgetDepartedServers(leader &Leader, const std::vector<vm> &Vms) {
  const time_point Now = Leader.Now();
  if (Now >= Leader.AllRunsKnownAt)
    return;
  std::unordered_set<std::string_view> Listed;
  for (const auto &Vm : Vms) {
    if (Vm.State == vm_state::Unknown)
      return; // its backend server is not known
    Listed.insert(Vm.Server);
  }
  for (auto &[Id, Server] : Leader.Servers) {
    const bool Departed = Now < Server->RunsUnknownUntil &&
                          !Server->Registered && !Listed.contains(Id);
    if (!Departed)
      continue;
    Log.info("no VM has the backend server, not waiting for its runs",
             {{"server", Id}, {"pool", Server->Entry.Pool}});
    Server->RunsUnknownUntil = NoDeadline;
    requestDispatchOfAllPools(Leader);
  }
}

} // namespace

void updateVms(leader &Leader, const vms_result &List) {
  std::unordered_map<std::string_view, const vm *> ByName;
  for (const auto &Vm : List.Vms) {
    ByName.emplace(Vm.Name, &Vm);
    if (server *Server = Leader.findServer(Vm.Server))
      Server->Vm = Vm.Name;
  }
  for (auto &[Id, Server] : Leader.Servers) {
    const auto Listed = ByName.find(Server->Vm);
    if (Listed == ByName.end())
      continue;
    const vm &Vm = *Listed->second;
    const bool Ended = Vm.State != vm_state::Unknown &&
                       (Id != Vm.Server || Vm.State != vm_state::Up);
    if (!Ended || (Server->Runs.empty() && !Server->Synced))
      continue;
    markServerLost(Leader, *Server,
                   "VM state is " +
                       std::string{nameOf(VmStateNames, Vm.State)});
    Server->RunsUnknownUntil = NoDeadline;
  }
  if (!List.Incomplete && !List.Vms.empty())
    forgetDepartedServers(Leader, List.Vms);
}

void watchServers(leader &Leader) {
  const time_point Now = Leader.Now();
  std::vector<std::string> Removable;
  std::vector<server *> Due;
  for (auto &[Id, Server] : Leader.Servers) {
    if (watchServer(Leader, *Server, Now, Due))
      Removable.push_back(Id);
  }
  sendHeartbeats(Leader, Due);
  for (const auto &Id : Removable) {
    Log.info("backend server removed", {{"server", Id}});
    Leader.Journal.put(serverKey(Id),
                       [] { return std::optional<std::string>{}; });
    removeServer(Leader, Id);
  }
}

void recoverServer(leader &Leader, const std::string &Id,
                   const std::string_view Record) {
  registration Entry;
  Entry.Id = Id;
  try {
    const auto From = parseCbor(Record);
    Entry.Address = From.at(0);
    Entry.StartedAtMs = boundedInteger<std::int64_t>(From.at(2));
    Entry.Pool = From.at(1);
  } catch (const std::exception &Error) {
    Log.error("stored record of a backend server is not readable",
              {{"server", Id}, {"error", Error.what()}});
  }
  server &Server = addServer(Leader, Entry);
  Server.Recorded = true;
  Server.MissingSince = Leader.Now();
  Server.HeartbeatDue = Leader.Now();
  awaitUnknownRuns(Leader, Server);
}

bool runsUnknown(const leader &Leader, const std::string_view Pool) {
  const time_point Now = Leader.Now();
  if (Now >= Leader.AllRunsKnownAt)
    return false;
  return std::ranges::any_of(Leader.Servers, [&](const auto &Each) {
    const server &Server = *Each.second;
    // A server whose record is unreadable may have served any pool.
    return Now < Server.RunsUnknownUntil &&
           (Server.Entry.Pool == Pool || Server.Entry.Pool.empty());
  });
}

} // namespace galenalink::job
