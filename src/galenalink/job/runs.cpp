#include "galenalink/job/runs.hpp"
#include "galenalink/telemetry/log.hpp"
#include <algorithm>

namespace galenalink::job {

namespace {

constexpr telemetry::logger Log{"runs"};

/** Starts of one task in one epoch; the epoch gives the thousands. */
constexpr std::uint64_t RunsPerEpoch = 1000;

/** Pause after a failure of a task, doubled with each one more. */
constexpr duration FirstBackoff = std::chrono::milliseconds{20};
constexpr duration LongestBackoff = std::chrono::milliseconds{1000};
/** Wait for the answer to an order. Answers come within a few ms; an order that
 * is lost holds up its task for this long. */
constexpr duration OrderWait = std::chrono::milliseconds{350};
/** Sends of one start order before it is taken back. */
constexpr std::uint32_t MostStartsSent = 4;
/** Pause after a start that was refused. */
constexpr duration RefusedBackoff = std::chrono::milliseconds{100};

std::string nameOfRun(const run_id &Run) {
  return Run.Task.Job + "." + std::to_string(Run.Task.Occurrence) + "." +
         std::to_string(Run.Task.Step) + "." + std::to_string(Run.Task.Index) +
         "#" + std::to_string(Run.Number);
}

void backOff(leader &Leader, const task_id &Id, const duration Pause) {
  job_entry *Entry = Leader.findJob(Id.Job);
  task *Task = Entry == nullptr ? nullptr : Entry->Job.find(Id);
  if (Task != nullptr)
    Task->NotBefore = Leader.Now() + Pause;
}

void startRefused(leader &Leader, server &Server, const run_id &Run,
                  const order_result &Result) {
  ++Leader.Counts->StartsRefused;
  const time_point Now = Leader.Now();
  if (Result.Reason == start_refusal::Unavailable)
    Server.Health.refused(Now);
  if (Result.Reason != start_refusal::Unavailable)
    Server.HoldDue = Now;
  if (Result.Reason == start_refusal::Ticket)
    Leader.Advice.drop(stepOf(Run.Task), Server.Entry.Id);
  run &Found = Server.Runs.at(Run);
  // An earlier send of the order may have been carried out: the list of runs
  // tells once it shows neither the run nor its end.
  if (Result.Reason == start_refusal::Superseded && Found.StartsSent > 1) {
    Found.StartConfirmedAt = Now;
    return;
  }
  if (Found.StartsSent > 1) {
    Found.State = run_state::Unclear;
    stopRun(Leader, Server, Run);
    return;
  }
  releaseRun(Leader, Server, Run);
  backOff(Leader, Run.Task, RefusedBackoff);
}

void sendStart(leader &Leader, server &Server, const run_id &RunId);

/**
 * @brief The order may be carried out later, so that the task can't start
 * elsewhere. A repeat of the same run there does no harm and is likely to be
 * answered; only a stop takes the order back.
 */
void startUnanswered(leader &Leader, server &Server, const run_id &Run) {
  ++Leader.Counts->StartsUnknown;
  Server.Health.unanswered(Leader.Now());
  struct run &Found = Server.Runs.at(Run);
  if (Found.State != run_state::Starting)
    return;
  const job_entry *Entry = Leader.findJob(Run.Task.Job);
  const bool Wanted = Entry != nullptr && !Entry->Job.ended() &&
                      !Server.Reserved && !Server.Entry.Draining;
  if (Wanted && Found.StartsSent < MostStartsSent) {
    sendStart(Leader, Server, Run);
    return;
  }
  Found.State = run_state::Unclear;
  stopRun(Leader, Server, Run);
}

void startAnswered(leader &Leader, const std::string &ServerId,
                   const run_id &Run, const order_result &Result);

void sendStart(leader &Leader, server &Server, const run_id &RunId) {
  const time_point Now = Leader.Now();
  const job_entry &Entry = *Leader.findJob(RunId.Task.Job);
  ++Server.Runs.at(RunId).StartsSent;
  start_order Order;
  Order.Server = Server.target();
  Order.Epoch = Leader.Epoch;
  Order.LeaseEndMs = Server.Lease.extend(Now, Leader.Settings.Lease);
  Order.AnswerBy = Now + OrderWait;
  Order.Run = RunId;
  Order.Spec = Entry.Job.spec().Spec;
  Order.Checkpoint = Server.Runs.at(RunId).StartedFrom;
  if (const std::string *Ticket =
          Leader.Advice.ticket(stepOf(RunId.Task), Server.Entry, Now))
    Order.Ticket = *Ticket;
  Leader.Ports.Start(Order, Leader.guarded([&Leader, Id = Server.Entry.Id,
                                            RunId](const order_result &Result) {
    startAnswered(Leader, Id, RunId, Result);
  }));
}

void startAnswered(leader &Leader, const std::string &ServerId,
                   const run_id &Run, const order_result &Result) {
  Log.info("start answered",
           {{"run", nameOfRun(Run)},
            {"server", ServerId},
            {"outcome", std::string{nameOf(CallOutcomeNames, Result.Outcome)}},
            {"why", std::string{nameOf(StartRefusalNames, Result.Reason)}}});
  if (Result.Outcome == call_outcome::Fenced) {
    Leader.OnFenced();
    return;
  }
  server *Found = Leader.findServer(ServerId);
  struct run *Started = Found == nullptr ? nullptr : Found->findRun(Run);
  if (Started == nullptr)
    return; // its end was listed before the answer came
  server &Server = *Found;
  if (Result.Outcome != call_outcome::Unknown)
    Server.Health.answered();
  switch (Result.Outcome) {
  case call_outcome::Done:
    Started->StartConfirmedAt = Leader.Now();
    if (Started->State == run_state::Starting)
      Started->State = run_state::Running;
    break;
  case call_outcome::Refused:
    startRefused(Leader, Server, Run, Result);
    break;
  case call_outcome::Replaced:
    loseServer(Leader, Server, "another incarnation at its address");
    break;
  case call_outcome::Unknown:
  case call_outcome::Fenced:
    startUnanswered(Leader, Server, Run);
    break;
  }
}

void stopAnswered(leader &Leader, const std::string &ServerId,
                  const run_id &Run, const order_result &Result) {
  if (Result.Outcome == call_outcome::Fenced) {
    Leader.OnFenced();
    return;
  }
  server *Found = Leader.findServer(ServerId);
  if (Found == nullptr)
    return;
  server &Server = *Found;
  if (Result.Outcome == call_outcome::Replaced) {
    loseServer(Leader, Server, "another incarnation at its address");
    return;
  }
  struct run *Stopped = Server.findRun(Run);
  if (Stopped == nullptr)
    return;
  Stopped->StopSent = false;
  if (Result.Outcome == call_outcome::Done) {
    Stopped->StopConfirmedAt = Leader.Now();
    Server.HoldDue = std::min(Server.HoldDue, Leader.Now());
  }
}

void learn(leader &Leader, server &Server, const job_entry &Entry,
           const run &Run, const step_spec &Step) {
  if (Run.StartConfirmedAt == NoDeadline)
    return;
  const double RealMs =
      std::chrono::duration<double, std::milli>(Leader.Now() - Run.SentAt)
          .count();
  const double Expected =
      Leader.Times.predictMs(Entry.Job.queue(), Step.EstimateMs);
  Server.Health.done(RealMs / std::max(Expected, 1.0));
  Leader.Times.ended(Entry.Job.queue(), Step.EstimateMs, RealMs);
}

void applyFailure(leader &Leader, server &Server, job_entry &Entry,
                  const run_id &Run) {
  task *Task = Entry.Job.find(Run.Task);
  if (Task == nullptr)
    return;
  const queue_rule *Rule = Leader.Rules.queue(Entry.Job.queue());
  const std::uint32_t Limit = Rule == nullptr ? 1 : Rule->MaxAttempts;
  Server.Health.failed(Leader.Now(), Task->Failures == 0);
  const auto Pause = FirstBackoff * (1U << std::min(Task->Failures, 5U));
  Task->NotBefore = Leader.Now() + std::min<duration>(Pause, LongestBackoff);
  const auto Effect = Entry.Job.taskFailed(Run, Limit);
  if (!Entry.Job.stepSpec(Run.Task)->LongRunning)
    recordProgress(Leader, Entry);
  if (Effect == end_effect::JobFailed) {
    Log.info("job failed", {{"job", Run.Task.Job},
                            {"run", nameOfRun(Run)},
                            {"server", Server.Entry.Id},
                            {"attempts", Limit},
                            {"rules", Leader.Rules.Version}});
    endJob(Leader, Entry);
  }
}

void applyDone(leader &Leader, server &Server, job_entry &Entry,
               const run_id &Run) {
  const step_spec *Step = Entry.Job.stepSpec(Run.Task);
  const auto Known = Server.Runs.find(Run);
  if (Known != Server.Runs.end() && Step != nullptr)
    learn(Leader, Server, Entry, Known->second, *Step);
  const bool Gang = Step != nullptr && Step->Gang;
  const auto Effect = Entry.Job.taskDone(Run.Task);
  if (Effect == end_effect::None)
    return;
  recordProgress(Leader, Entry);
  if (Effect == end_effect::JobCompleted) {
    Log.info("job completed", {{"job", Run.Task.Job}, {"run", nameOfRun(Run)}});
    endJob(Leader, Entry);
    return;
  }
  // Copies of the task, or the rest of the gang, have no work left.
  for (auto &[Id, Other] : Leader.Servers) {
    for (auto &[OtherRun, State] : Other->Runs) {
      const bool Same = OtherRun.Task == Run.Task ||
                        (Gang && OtherRun.Task.Job == Run.Task.Job &&
                         OtherRun.Task.Occurrence == Run.Task.Occurrence &&
                         OtherRun.Task.Step == Run.Task.Step);
      if (Same && OtherRun != Run && !Gang)
        stopRun(Leader, *Other, OtherRun);
    }
  }
}

} // namespace

std::uint64_t nextRun(const leader &Leader, const task &Task) {
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
  Run.LongRunning = Step.LongRunning;
  Run.BestEffort = Step.BestEffort;
  Run.TargetMs = Step.TargetMs;
  Run.SentAt = Now;
  Run.StartedFrom = Task.Checkpoint;
  const auto ExpectedMs =
      Leader.Times.predictMs(Entry.Job.queue(), Step.EstimateMs);
  Run.ExpectedEnd =
      Now + duration{static_cast<std::int64_t>(ExpectedMs * 1000)};
  const run_id RunId{Id, Number};
  Server.addRun(RunId, Run);
  Entry.Job.markStarted();
  sendStart(Leader, Server, RunId);
}

void stopRun(leader &Leader, server &Server, const run_id &RunId) {
  const auto Found = Server.Runs.find(RunId);
  if (Found == Server.Runs.end() || Found->second.StopSent ||
      Found->second.StopConfirmedAt != NoDeadline)
    return;
  run &Run = Found->second;
  Run.StopSent = true;
  if (Run.State == run_state::Running)
    Run.State = run_state::Stopping;
  Leader.Ports.Stop(
      {Server.target(), Leader.Epoch, Leader.Now() + OrderWait, RunId},
      Leader.guarded(
          [&Leader, Id = Server.Entry.Id, RunId](const order_result &Result) {
            stopAnswered(Leader, Id, RunId, Result);
          }));
}

void stopRunsOf(leader &Leader, const std::string &Job) {
  for (auto &[Id, Server] : Leader.Servers) {
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
  Server.eraseRun(run_id{Run});
  Leader.NeedsDispatch = true;
  job_entry *Entry = Leader.findJob(Id.Job);
  task *Task = Entry == nullptr ? nullptr : Entry->Job.find(Id);
  if (Task != nullptr && Task->Runs > 0)
    --Task->Runs;
}

void loseServer(leader &Leader, server &Server, const std::string_view Reason) {
  Log.warning("backend server lost", {{"server", Server.Entry.Id},
                                      {"address", Server.Entry.Address},
                                      {"why", std::string{Reason}},
                                      {"runs", Server.Runs.size()}});
  ++Leader.Counts->ServersLost;
  Server.Usable = false;
  Server.Registered = false;
  while (!Server.Runs.empty())
    releaseRun(Leader, Server, run_id{Server.Runs.begin()->first});
}

void applyEnd(leader &Leader, server &Server, const listed_end &End) {
  Log.info("run ended",
           {{"run", nameOfRun(End.Run)},
            {"server", Server.Entry.Id},
            {"number", End.Number},
            {"how", std::string{nameOf(RunOutcomeNames, End.Outcome)}}});
  ++Leader.Counts->Ends[End.Outcome];
  job_entry *Entry = Leader.findJob(End.Run.Task.Job);
  if (Entry != nullptr && !Entry->Job.ended()) {
    task *Task = Entry->Job.find(End.Run.Task);
    if (Task != nullptr && !End.Checkpoint.empty() && !Task->Done &&
        End.Checkpoint != Task->Checkpoint) {
      Task->Checkpoint = End.Checkpoint;
      recordProgress(Leader, *Entry);
    }
    if (End.Outcome == run_outcome::Done)
      applyDone(Leader, Server, *Entry, End.Run);
    else if (End.Outcome == run_outcome::Failed)
      applyFailure(Leader, Server, *Entry, End.Run);
  }
  releaseRun(Leader, Server, End.Run);
}

void repeatStops(leader &Leader, server &Server) {
  for (auto &[Id, Run] : Server.Runs) {
    if (Run.State == run_state::Stopping || Run.State == run_state::Unclear)
      stopRun(Leader, Server, Id);
  }
}

} // namespace galenalink::job
