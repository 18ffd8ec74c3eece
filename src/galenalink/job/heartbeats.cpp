#include "galenalink/job/heartbeats.hpp"
#include "galenalink/job/occurrences.hpp"
#include "galenalink/job/run_ends.hpp"
#include "galenalink/job/runs.hpp"
#include "galenalink/telemetry/log.hpp"
#include <algorithm>

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

/** Allows for late timers, and for leases that were granted by an old reading
 * of the backend server's clock. */
constexpr duration LeaseEndMargin = std::chrono::milliseconds{200};
/** Local time per unit of time on the slowest permitted clock. */
constexpr double MaxClockStretch = 1.0 / 0.98;

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
  if (Entry != nullptr)
    Run.Customer = Entry->Job.customer();
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
  updateIndexes(Leader, *Entry);
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
  settleListedRuns(Leader, Server, Result);
  if (!Result.EndsTruncated) {
    releaseMissingRuns(Leader, Server);
    Server.RunsUnknownUntil = NoDeadline;
  } else if (Server.RunsUnknownUntil != NoDeadline) {
    // Start orders of this leader extend the lease until a heartbeat fails and
    // their repeats end, which takes less than this.
    awaitUnknownRuns(Leader, Server, Leader.Now() + LeaseGrantValidity);
  }
  // Runs of an earlier leader have a lease of at most the same length.
  if (!Server.Synced && !Server.Runs.empty())
    static_cast<void>(Server.Lease.extend(Leader.Now(), Leader.Settings.Lease));
  const bool StartsRevoked = Server.Synced || revokeStarts(Leader, Server);
  if (!Server.Synced && StartsRevoked) {
    Server.Synced = true;
    requestDispatch(Leader, Server.Entry.Pool);
  }
  const bool Unrecorded = Server.LastAppliedEnd != Server.LastStoredEnd;
  const duration Interval = !StartsRevoked ? RetryInterval
                            : Unrecorded   ? UnrecordedInterval
                                           : HeartbeatInterval;
  Server.HeartbeatDue = Leader.Now() + Interval;
  resendStops(Leader, Server);
}

void onHeartbeatResponse(leader &Leader, const server_target &Target,
                         const heartbeat_result &Result) {
  server *Found = Leader.findTarget(Target);
  if (Found == nullptr)
    return;
  server &Server = *Found;
  Server.HeartbeatPending = false;
  const bool Restarted =
      !mayBeSameIncarnation(Result.StartedAtMs, Target.StartedAtMs);
  if (Result.Outcome == call_outcome::Fenced) {
    reportFenced(Leader, Target.Id);
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
        {{"server", Target.Id},
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
                      Server.Lease.hasClock() && !Server.Runs.empty() &&
                      mayGrantLeases(Leader);
  if (Extend)
    Order.LeaseEndMs = grantLease(Leader, Server);
  const bool Immediate = !Server.Synced || Server.HeartbeatFailures > 0 ||
                         Server.LastAppliedEnd != Server.LastStoredEnd;
  Order.WaitMs = Immediate             ? 0
                 : Server.Runs.empty() ? HeartbeatWaitIdleMs
                                       : HeartbeatWaitBusyMs;
  Server.HeartbeatPending = true;
  Server.HeartbeatSentAt = Now;
  Leader.Ports.Heartbeat(Order,
                         Leader.guarded([&Leader, Target = Order.Server](
                                            const heartbeat_result &Result) {
                           onHeartbeatResponse(Leader, Target, Result);
                         }));
}

} // namespace

void awaitUnknownRuns(leader &Leader, server &Server,
                      const time_point LastGrant) {
  const auto Longest =
      static_cast<double>(Leader.Settings.Lease.count()) * MaxClockStretch;
  Server.RunsUnknownUntil = LastGrant +
                            duration{static_cast<std::int64_t>(Longest)} +
                            LeaseEndMargin + Leader.Settings.StopTime;
  Server.EndOfWaitLogged = false;
  Leader.AllRunsKnownAt =
      std::max(Leader.AllRunsKnownAt, Server.RunsUnknownUntil);
}

void sendHeartbeats(leader &Leader, std::vector<server *> &Due) {
  const std::size_t Count =
      std::min(Due.size(), Leader.Settings.MaxHeartbeatsPerPass);
  const auto DueAt = [](const server *Each) { return Each->HeartbeatDue; };
  std::ranges::partial_sort(
      Due, Due.begin() + static_cast<std::ptrdiff_t>(Count), {}, DueAt);
  for (std::size_t I = 0; I < Count; ++I)
    sendHeartbeat(Leader, *Due[I]);
}

} // namespace galenalink::job
