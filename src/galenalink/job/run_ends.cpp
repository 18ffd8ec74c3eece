#include "galenalink/job/run_ends.hpp"
#include "galenalink/job/job_limits.hpp"
#include "galenalink/job/occurrences.hpp"
#include "galenalink/job/runs.hpp"
#include "galenalink/telemetry/log.hpp"
#include <algorithm>

namespace galenalink::job {

namespace {

constexpr telemetry::logger Log{"runs"};

/** Delay before a failed task is retried; it doubles with each failure. */
constexpr duration FirstBackoff = std::chrono::milliseconds{20};
constexpr duration MaxBackoff = std::chrono::milliseconds{1000};

void recordDuration(leader &Leader, server &Server, const job_entry &Entry,
                    const run &Run, const step_spec &Step) {
  if (Run.StartConfirmedAt == NoDeadline)
    return;
  const double ActualMs =
      std::chrono::duration<double, std::milli>(Leader.Now() - Run.SentAt)
          .count();
  const double Expected =
      Leader.Durations.predictMs(Entry.Job.queue(), Step.EstimateMs);
  Server.Health.recordCompletion(ActualMs / std::max(Expected, 1.0));
  Leader.Durations.addSample(Entry.Job.queue(), Step.EstimateMs, ActualMs);
}

void applyFailure(leader &Leader, server &Server, job_entry &Entry,
                  const run_id &Run) {
  task *Task = Entry.Job.find(Run.Task);
  if (Task == nullptr)
    return;
  const job_rule *Rule = Entry.Job.rule();
  if (Rule == nullptr) {
    ++Leader.Counts->FailuresWithoutRule;
    Log.warning("run failed, attempt limit unknown; its task waits for the "
                "rule of the queue",
                {{"run", toText(Run)},
                 {"queue", Entry.Job.queue()},
                 {"rules", Leader.Rules.Version}});
  }
  Server.Health.recordFailure(Leader.Now(), Task->Failures == 0);
  const auto Delay = FirstBackoff * (1U << std::min(Task->Failures, 5U));
  Task->NotBefore = Leader.Now() + std::min<duration>(Delay, MaxBackoff);
  const auto Effect = Entry.Job.taskFailed(Run);
  if (!Entry.Job.stepSpec(Run.Task)->LongRunning)
    recordProgress(Leader, Entry);
  if (Effect == end_effect::JobFailed) {
    ++Leader.Counts->JobsFailed;
    Log.info("job failed", {{"job", Run.Task.Job},
                            {"run", toText(Run)},
                            {"server", Server.Entry.Id},
                            {"attempts", Rule->MaxAttempts},
                            {"rules", Entry.Job.ruleVersion()}});
    endJob(Leader, Entry);
  }
}

void applyDone(leader &Leader, server &Server, job_entry &Entry,
               const run_id &Run) {
  const step_spec *Step = Entry.Job.stepSpec(Run.Task);
  const auto Known = Server.Runs.find(Run);
  if (Known != Server.Runs.end() && Step != nullptr)
    recordDuration(Leader, Server, Entry, Known->second, *Step);
  const bool Gang = Step != nullptr && Step->Gang;
  const auto Effect = Entry.Job.taskDone(Run.Task);
  if (Effect == end_effect::None)
    return;
  recordProgress(Leader, Entry);
  if (Effect == end_effect::JobCompleted) {
    Log.info("job completed", {{"job", Run.Task.Job}, {"run", toText(Run)}});
    endJob(Leader, Entry);
    return;
  }
  // Other copies of the task have no work left. Runs of a gang are not stopped,
  // because its tasks end together.
  if (Gang)
    return;
  for (server *Other : Leader.RunLocations.serversOf(Run.Task)) {
    for (auto Each = Other->Runs.lower_bound(run_id{Run.Task, 0});
         Each != Other->Runs.end() && Each->first.Task == Run.Task; ++Each) {
      if (Each->first != Run)
        stopRun(Leader, *Other, Each->first);
    }
  }
}

/** @return Why the end changes no task; `nullopt` if it counts for one. */
std::optional<ignored_end> findIgnoredReason(job_entry *Entry,
                                             const listed_end &End) {
  if (Entry == nullptr)
    return ignored_end::UnknownJob;
  job &Job = Entry->Job;
  if (Job.ended())
    return ignored_end::JobEnded;
  const task_id &Id = End.Run.Task;
  const step_spec *Step = Job.stepSpec(Id);
  if (Step == nullptr || Id.Index >= Step->Count ||
      Id.Occurrence >= Job.spec().occurrences())
    return ignored_end::UnknownTask;
  const task *Task = Job.find(Id);
  if (Task == nullptr)
    return Id.Occurrence < Job.openedCount() ? ignored_end::OccurrenceDone
                                             : ignored_end::OccurrenceNotOpen;
  return Task->Done ? std::optional{ignored_end::TaskDone} : std::nullopt;
}

void logRunEnd(const server &Server, const listed_end &End,
               const std::optional<ignored_end> Ignored) {
  std::vector<telemetry::attribute> Line{
      {"run", toText(End.Run)},
      {"server", Server.Entry.Id},
      {"number", End.Number},
      {"how", std::string{nameOf(RunOutcomeNames, End.Outcome)}}};
  if (Ignored)
    Line.emplace_back("ignored",
                      std::string{nameOf(IgnoredEndNames, *Ignored)});
  Log.write(telemetry::severity::Info, "run ended", Line);
}

void logDiscardedEnd(leader &Leader, const job &Job, const listed_end &End) {
  if (const auto Dropped = Leader.DiscardedEndLogRate.admit(Leader.Now()))
    Log.error("end of a run of an occurrence that no leader can have opened, "
              "discarding it",
              {{"run", toText(End.Run)},
               {"opened", Job.openedCount()},
               {"open", Job.openOccurrences().size()},
               {"max_tasks", limits::MaxReportedTasks},
               {"lines_dropped", *Dropped}});
}

/** @brief Stores the checkpoint of an end, from which the next run starts. */
void applyCheckpoint(leader &Leader, job_entry &Entry, const listed_end &End) {
  task *Task = Entry.Job.find(End.Run.Task);
  if (Task == nullptr || Task->Done || End.Checkpoint.empty() ||
      End.Checkpoint == Task->Checkpoint)
    return;
  Task->Checkpoint = End.Checkpoint;
  recordProgress(Leader, Entry);
}

} // namespace

void applyRunEnd(leader &Leader, server &Server, const listed_end &End) {
  job_entry *Entry = Leader.findJob(End.Run.Task.Job);
  if (Entry != nullptr)
    openReportedOccurrence(Leader, *Entry, End.Run.Task.Occurrence);
  const bool Done = End.Outcome == run_outcome::Done;
  const bool Failed = End.Outcome == run_outcome::Failed;
  const auto Ignored = findIgnoredReason(Entry, End);
  logRunEnd(Server, End, Ignored);
  ++Leader.Counts->Ends[End.Outcome];
  if (Ignored && (Done || Failed))
    ++Leader.Counts->IgnoredEnds[*Ignored];
  if (Ignored == ignored_end::OccurrenceNotOpen)
    logDiscardedEnd(Leader, Entry->Job, End);
  if (Entry != nullptr && !Entry->Job.ended()) {
    applyCheckpoint(Leader, *Entry, End);
    if (Done)
      applyDone(Leader, Server, *Entry, End.Run);
    else if (Failed)
      applyFailure(Leader, Server, *Entry, End.Run);
  }
  releaseRun(Leader, Server, End.Run);
}

} // namespace galenalink::job
