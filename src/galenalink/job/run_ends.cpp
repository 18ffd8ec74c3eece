#include "galenalink/job/run_ends.hpp"
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

} // namespace

void applyRunEnd(leader &Leader, server &Server, const listed_end &End) {
  Log.info("run ended",
           {{"run", toText(End.Run)},
            {"server", Server.Entry.Id},
            {"number", End.Number},
            {"how", std::string{nameOf(RunOutcomeNames, End.Outcome)}}});
  ++Leader.Counts->Ends[End.Outcome];
  job_entry *Entry = Leader.findJob(End.Run.Task.Job);
  if (Entry != nullptr && !Entry->Job.ended()) {
    openReportedOccurrence(Leader, *Entry, End.Run.Task.Occurrence);
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

} // namespace galenalink::job
