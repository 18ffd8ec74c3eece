#include "galenalink/job/runs.hpp"
#include "galenalink/telemetry/log.hpp"
#include <algorithm>

namespace galenalink::job {

namespace {

constexpr telemetry::logger Log{"runs"};

/** Run numbers of a task per epoch: those of epoch N start above (N - 1) * 1000
 * and so above those of earlier leaders. */
constexpr std::uint64_t RunsPerEpoch = 1000;

/** Attempts to send one start order before a list of runs must settle it. */
constexpr std::uint32_t MaxStartsSent = 4;
/** Delay before a task is started again after a refused start. */
constexpr duration RefusedBackoff = std::chrono::milliseconds{100};
/** Size of a start order without the specification of its job, including the
 * headers of the request. */
constexpr std::size_t StartOrderOverheadBytes = 600;

void backOff(leader &Leader, const task_id &Id, const duration Delay) {
  job_entry *Entry = Leader.findJob(Id.Job);
  task *Task = Entry == nullptr ? nullptr : Entry->Job.find(Id);
  if (Task != nullptr)
    Task->NotBefore = Leader.Now() + Delay;
}

/**
 * @brief Leaves a run, whose start may have been carried out, to the next list
 * of runs that is requested from now on: if that names the run, it is kept,
 * otherwise it is stopped, which also revokes a start that is still under way.
 */
void awaitListOfRuns(const leader &Leader, server &Server, run &Run) {
  Run.State = run_state::Unconfirmed;
  Run.UnconfirmedSince = Leader.Now();
  Server.HeartbeatDue = std::min(Server.HeartbeatDue, Leader.Now());
}

void onStartRefused(leader &Leader, server &Server, const run_id &Run,
                    const order_result &Result) {
  ++Leader.Counts->StartsRefused;
  const time_point Now = Leader.Now();
  if (Result.Reason == start_refusal::Unavailable)
    Server.Health.recordFault(Now);
  if (Result.Reason != start_refusal::Unavailable)
    Server.HeartbeatDue = Now;
  if (Result.Reason == start_refusal::Ticket)
    Leader.Tickets.invalidate(stepIdOf(Run.Task), Server.Entry.Id);
  run &Found = Server.Runs.at(Run);
  // An earlier attempt may have started the run, which is kept until a later
  // heartbeat lists neither it nor its end.
  if (Result.Reason == start_refusal::Superseded && Found.StartsSent > 1) {
    Found.StartConfirmedAt = Now;
    return;
  }
  if (Found.StartsSent > 1) {
    awaitListOfRuns(Leader, Server, Found);
    return;
  }
  releaseRun(Leader, Server, Run);
  backOff(Leader, Run.Task, RefusedBackoff);
}

void sendStart(leader &Leader, server &Server, const run_id &RunId);

/**
 * @brief Handles a start order without a response. The backend server may have
 * carried it out or may still do so, so the task can't be started elsewhere. A
 * retry with the same run number is idempotent and likely to get a response.
 */
void onStartTimeout(leader &Leader, server &Server, const run_id &Run) {
  ++Leader.Counts->StartsUnknown;
  Server.Health.recordTimeout(Leader.Now());
  struct run &Found = Server.Runs.at(Run);
  if (Found.State != run_state::Starting)
    return;
  job_entry *Entry = Leader.findJob(Run.Task.Job);
  const bool Needed =
      !Found.StopRequested && Entry != nullptr && Entry->Job.needsRun(Run.Task);
  if (!Needed) {
    Found.State = run_state::Unconfirmed;
    stopRun(Leader, Server, Run);
    return;
  }
  const bool Retry = !Server.Cordoned && !Server.Entry.Draining &&
                     Found.StartsSent < MaxStartsSent && mayGrantLeases(Leader);
  if (Retry)
    sendStart(Leader, Server, Run);
  else
    awaitListOfRuns(Leader, Server, Found);
}

void onStartResponse(leader &Leader, const server_target &Target,
                     const run_id &Run, const order_result &Result);

void sendStart(leader &Leader, server &Server, const run_id &RunId) {
  const time_point Now = Leader.Now();
  const job_entry &Entry = *Leader.findJob(RunId.Task.Job);
  ++Server.Runs.at(RunId).StartsSent;
  start_order Order;
  Order.Server = Server.target();
  Order.Epoch = Leader.Epoch;
  Order.LeaseEndMs = grantLease(Leader, Server);
  Order.ResponseDeadline = Now + OrderTimeout;
  Order.Run = RunId;
  Order.Spec = Entry.Job.spec().Spec;
  Order.Checkpoint = Server.Runs.at(RunId).StartedFrom;
  if (const std::string *Ticket =
          Leader.Tickets.ticket(stepIdOf(RunId.Task), Server.Entry, Now))
    Order.Ticket = *Ticket;
  const auto WindowId = Leader.StartWindow.acquire(
      StartOrderOverheadBytes + Order.Spec.size() + Order.Checkpoint.size() +
          Order.Ticket.size(),
      Now);
  Leader.Ports.Start(Order,
                     Leader.guarded([&Leader, Target = Order.Server, RunId,
                                     WindowId](const order_result &Result) {
                       Leader.StartWindow.release(WindowId);
                       onStartResponse(Leader, Target, RunId, Result);
                     }));
}

void onStartResponse(leader &Leader, const server_target &Target,
                     const run_id &Run, const order_result &Result) {
  // A confirmed start adds nothing to the line "start".
  if (Result.Outcome != call_outcome::Done)
    Log.info(
        "response to start order",
        {{"run", toText(Run)},
         {"server", Target.Id},
         {"outcome", std::string{nameOf(CallOutcomeNames, Result.Outcome)}},
         {"why", std::string{nameOf(StartRefusalNames, Result.Reason)}}});
  if (Result.Outcome == call_outcome::Fenced) {
    reportFenced(Leader, Target.Id);
    return;
  }
  server *Found = Leader.findTarget(Target);
  struct run *Started = Found == nullptr ? nullptr : Found->findRun(Run);
  if (Started == nullptr)
    return; // its end was reported before the response arrived
  server &Server = *Found;
  if (Result.Outcome != call_outcome::Unknown)
    Server.Health.recordResponse();
  switch (Result.Outcome) {
  case call_outcome::Done:
    Started->StartConfirmedAt = Leader.Now();
    if (Started->State == run_state::Starting)
      Started->confirmStart();
    break;
  case call_outcome::Refused:
    onStartRefused(Leader, Server, Run, Result);
    break;
  case call_outcome::Replaced:
    markServerLost(Leader, Server, "another incarnation serves its address");
    break;
  case call_outcome::Unknown:
  case call_outcome::Fenced:
    onStartTimeout(Leader, Server, Run);
    break;
  }
}

void onStopResponse(leader &Leader, const server_target &Target,
                    const run_id &Run, const order_result &Result) {
  if (Result.Outcome == call_outcome::Fenced) {
    reportFenced(Leader, Target.Id);
    return;
  }
  server *Found = Leader.findTarget(Target);
  if (Found == nullptr)
    return;
  server &Server = *Found;
  if (Result.Outcome == call_outcome::Replaced) {
    markServerLost(Leader, Server, "another incarnation serves its address");
    return;
  }
  struct run *Stopped = Server.findRun(Run);
  if (Stopped == nullptr)
    return;
  Stopped->StopSent = false;
  if (Result.Outcome == call_outcome::Done) {
    Stopped->StopConfirmedAt = Leader.Now();
    Server.HeartbeatDue = std::min(Server.HeartbeatDue, Leader.Now());
  }
}

} // namespace

std::string toText(const run_id &Run) {
  return Run.Task.Job + "." + std::to_string(Run.Task.Occurrence) + "." +
         std::to_string(Run.Task.Step) + "." + std::to_string(Run.Task.Index) +
         "#" + std::to_string(Run.Number);
}

std::uint64_t nextRunNumber(const leader &Leader, const task &Task) {
  return std::max(Task.LastRun, (Leader.Epoch - 1) * RunsPerEpoch) + 1;
}

void startRun(leader &Leader, server &Server, job_entry &Entry,
              const task_id &Id, const std::uint64_t Number) {
  const time_point Now = Leader.Now();
  const step_spec &Step = *Entry.Job.stepSpec(Id);
  task &Task = *Entry.Job.find(Id);
  ++Leader.Counts->Starts;
  Task.LastRun = Number;
  ++Task.Runs;
  run Run;
  Run.Size = Step.Size;
  Run.Customer = Entry.Job.customer();
  Run.LongRunning = Step.LongRunning;
  Run.BestEffort = Step.BestEffort;
  Run.TargetMs = Step.TargetMs;
  Run.SentAt = Now;
  Run.StartedFrom = Task.Checkpoint;
  const auto ExpectedMs =
      Leader.Durations.predictMs(Entry.Job.queue(), Step.EstimateMs);
  Run.ExpectedEnd =
      Now + duration{static_cast<std::int64_t>(ExpectedMs * 1000)};
  const run_id RunId{Id, Number};
  Server.addRun(RunId, Run);
  if (Entry.Job.state() == job_state::Queued) {
    Leader.OverloadGate.recordJobStart(Now);
    Leader.WaitingJobs -= std::min<std::size_t>(Leader.WaitingJobs, 1);
  }
  Entry.Job.markStarted();
  updateIndexes(Leader, Entry);
  sendStart(Leader, Server, RunId);
}

void stopRun(leader &Leader, server &Server, const run_id &RunId) {
  const auto Found = Server.Runs.find(RunId);
  if (Found == Server.Runs.end() || Found->second.StopSent ||
      Found->second.StopConfirmedAt != NoDeadline)
    return;
  run &Run = Found->second;
  Run.StopRequested = true;
  Run.StopSent = true;
  if (Run.State == run_state::Running)
    Run.State = run_state::Stopping;
  Leader.Ports.Stop(
      {Server.target(), Leader.Epoch, Leader.Now() + OrderTimeout, RunId},
      Leader.guarded([&Leader, Target = Server.target(),
                      RunId](const order_result &Result) {
        onStopResponse(Leader, Target, RunId, Result);
      }));
}

void stopJobRuns(leader &Leader, const std::string &Job) {
  for (server *Server : Leader.RunLocations.serversOfJob(Job)) {
    const run_id First{{Job, 0, 0, 0}, 0};
    for (auto Each = Server->Runs.lower_bound(First);
         Each != Server->Runs.end() && Each->first.Task.Job == Job; ++Each)
      stopRun(Leader, *Server, Each->first);
  }
}

void releaseRun(leader &Leader, server &Server, const run_id &Run) {
  if (!Server.Runs.contains(Run))
    return;
  const task_id Id = Run.Task;
  const std::string Customer = Server.Runs.at(Run).Customer;
  Server.eraseRun(run_id{Run});
  requestDispatch(Leader, Server.Entry.Pool);
  for (const auto &Pool : Leader.Quotas.takeWaiting(Customer))
    requestDispatch(Leader, Pool);
  job_entry *Entry = Leader.findJob(Id.Job);
  task *Task = Entry == nullptr ? nullptr : Entry->Job.find(Id);
  if (Task == nullptr)
    return;
  // The rules may have moved the job to another pool than the run's.
  requestDispatch(Leader, Entry->Job.pool());
  if (Task->Runs > 0)
    --Task->Runs;
}

namespace {

/** @return Milliseconds between two times; "none" if one of them is unset. */
std::string elapsedMs(const time_point From, const time_point To) {
  const bool Known = From != time_point{} && To != time_point{};
  return Known ? std::to_string(wholeMs(To - From)) : "none";
}

void logLostServer(const leader &Leader, const server &Server,
                   const std::string_view Reason) {
  const time_point Now = Leader.Now();
  Log.warning("backend server lost",
              {{"server", Server.Entry.Id},
               {"address", Server.Entry.Address},
               {"why", std::string{Reason}},
               {"runs", Server.Runs.size()},
               {"epoch", Leader.Epoch},
               {"confirmed", isLeadershipConfirmed(Leader) ? "yes" : "no"},
               {"listed_ms_ago", elapsedMs(Server.ListedAt, Now)},
               {"lease_left_ms", elapsedMs(Now, Server.Lease.expiry())},
               {"failures", Server.HeartbeatFailures}});
}

/** @brief Keeps the tasks of the backend server from starting until an append
 * since then has succeeded: a successor may have noted the ends of their runs.
 */
void requireConfirmation(leader &Leader, const server &Server,
                         const time_point EndedAt) {
  for (const auto &[Id, Run] : Server.Runs) {
    job_entry *Entry = Leader.findJob(Id.Task.Job);
    task *Task = Entry == nullptr ? nullptr : Entry->Job.find(Id.Task);
    if (Task != nullptr)
      Task->ReleasedAt = std::max(Task->ReleasedAt, EndedAt);
  }
}

/** @brief Keeps the start orders without a response: they may still arrive. */
void keepUnansweredStarts(leader &Leader, const server &Server) {
  for (const auto &[Id, Run] : Server.Runs) {
    if (Run.StartConfirmedAt != NoDeadline)
      continue;
    Log.warning("run released without a response to its start order",
                {{"run", toText(Id)},
                 {"server", Server.Entry.Id},
                 {"orders", Run.StartsSent}});
    Leader.StartRevocations.add(Server.Entry.Id, Id, Leader.Now());
  }
}

} // namespace

void markServerLost(leader &Leader, server &Server,
                    const std::string_view Reason,
                    const std::optional<time_point> EndedAt) {
  logLostServer(Leader, Server, Reason);
  keepUnansweredStarts(Leader, Server);
  requireConfirmation(Leader, Server, EndedAt.value_or(Leader.Now()));
  ++Leader.Counts->ServersLost;
  Server.Synced = false;
  Server.Registered = false;
  while (!Server.Runs.empty())
    releaseRun(Leader, Server, run_id{Server.Runs.begin()->first});
}

void resendStops(leader &Leader, server &Server) {
  for (auto &[Id, Run] : Server.Runs) {
    const bool NotListed = Run.State == run_state::Unconfirmed &&
                           Server.HeartbeatSentAt >= Run.UnconfirmedSince;
    if (Run.StopRequested || NotListed)
      stopRun(Leader, Server, Id);
  }
}

} // namespace galenalink::job
