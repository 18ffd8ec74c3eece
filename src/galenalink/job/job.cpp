#include "galenalink/job/job.hpp"
#include "galenalink/job/job_limits.hpp"
#include <algorithm>

namespace galenalink::job {

bool occurrence::done() const noexcept {
  return std::ranges::all_of(Steps,
                             [](const step &Each) { return Each.done(); });
}

job::job(std::string Id, std::string Queue, std::string Pool, job_spec Spec,
         const wall_ms AcceptedMs)
    : Id{std::move(Id)}, Queue{std::move(Queue)}, Pool{std::move(Pool)},
      Spec{std::move(Spec)}, AcceptedMs{AcceptedMs} {}

std::optional<wall_ms> job::nextDue() const noexcept {
  if (ended() || OpenedCount >= Spec.occurrences())
    return std::nullopt;
  if (Spec.Times == 0)
    return AcceptedMs;
  const auto Offset = std::min<std::uint64_t>(
      std::uint64_t{OpenedCount} * Spec.IntervalMs, limits::MaxWallMs);
  return Spec.StartAtMs + static_cast<wall_ms>(Offset);
}

bool job::isNextDue(const wall_ms Wall) const noexcept {
  const auto Due = nextDue();
  return Due && (Spec.Times == 0 || *Due <= Wall);
}

occurrence &job::openNext() {
  auto &Added = OpenOccurrences.emplace_back();
  Added.DueMs = nextDue().value_or(AcceptedMs);
  Added.Number = OpenedCount++;
  Added.Steps.resize(Spec.Steps.size());
  for (std::size_t I = 0; I < Spec.Steps.size(); ++I)
    Added.Steps[I].Tasks.resize(Spec.Steps[I].Count);
  return Added;
}

task *job::find(const task_id &Id) noexcept {
  for (auto &Each : OpenOccurrences) {
    if (Each.Number != Id.Occurrence)
      continue;
    if (Id.Step >= Each.Steps.size() ||
        Id.Index >= Each.Steps[Id.Step].Tasks.size())
      return nullptr;
    return &Each.Steps[Id.Step].Tasks[Id.Index];
  }
  return nullptr;
}

const step_spec *job::stepSpec(const task_id &Id) const noexcept {
  return Id.Step < Spec.Steps.size() ? &Spec.Steps[Id.Step] : nullptr;
}

bool job::ready(const occurrence &Occurrence,
                const std::size_t Step) const noexcept {
  return std::ranges::all_of(Spec.Steps[Step].DependsOn,
                             [&](const std::uint32_t Earlier) {
                               return Earlier < Occurrence.Steps.size() &&
                                      Occurrence.Steps[Earlier].done();
                             });
}

bool job::needsRun(const task_id &Id) noexcept {
  const task *Task = ended() ? nullptr : find(Id);
  return Task != nullptr && !Task->Done;
}

void job::markStarted() noexcept {
  if (State == job_state::Queued)
    State = job_state::Running;
}

void job::removeDoneOccurrences() {
  std::erase_if(OpenOccurrences,
                [](const occurrence &Each) { return Each.done(); });
  if (OpenOccurrences.empty() && OpenedCount >= Spec.occurrences())
    State = job_state::Completed;
}

end_effect job::taskDone(const task_id &Id) {
  task *Task = ended() ? nullptr : find(Id);
  if (Task == nullptr || Task->Done || stepSpec(Id)->LongRunning)
    return end_effect::None;
  markStarted();
  const auto Occurrence =
      std::ranges::find(OpenOccurrences, Id.Occurrence, &occurrence::Number);
  step &Step = Occurrence->Steps[Id.Step];
  const auto MarkDone = [&](task &Each) {
    Step.Done += Each.Done ? 0 : 1;
    Each.Done = true;
    Each.Checkpoint.clear();
  };
  // The tasks of a gang end together, so one completed task completes all.
  if (stepSpec(Id)->Gang)
    std::ranges::for_each(Step.Tasks, MarkDone);
  else
    MarkDone(*Task);
  removeDoneOccurrences();
  return State == job_state::Completed ? end_effect::JobCompleted
                                       : end_effect::TaskDone;
}

bool job::adoptRule(const queue_rule &Queue, const std::uint64_t Version) {
  if (Rule && Version < RuleVersion)
    return false;
  const job_rule &NewRule = Queue;
  const bool Changed = Rule != NewRule || Pool != Queue.Pool;
  setRule(NewRule, Version);
  if (Pool != Queue.Pool) {
    if (std::ranges::find(FormerPools, Pool) == FormerPools.end())
      FormerPools.push_back(Pool);
    Pool = Queue.Pool;
  }
  return Changed;
}

bool job::reachedLimit(const step_spec &Step, const task &Task) const noexcept {
  return !Step.LongRunning && Rule && Task.Failures >= Rule->MaxAttempts &&
         Task.Failures > 0;
}

bool job::permitsRun(const step_spec &Step, const task &Task) const noexcept {
  if (Step.LongRunning || Task.Failures == 0)
    return true;
  return Rule && !reachedLimit(Step, Task);
}

bool job::failAtLimit() noexcept {
  if (ended())
    return false;
  for (const auto &Occurrence : OpenOccurrences) {
    for (std::size_t I = 0; I < Occurrence.Steps.size(); ++I) {
      const bool Reached =
          std::ranges::any_of(Occurrence.Steps[I].Tasks, [&](const task &Each) {
            return !Each.Done && reachedLimit(Spec.Steps[I], Each);
          });
      if (Reached) {
        State = job_state::Failed;
        return true;
      }
    }
  }
  return false;
}

end_effect job::taskFailed(const run_id &Run) {
  task *Task = ended() ? nullptr : find(Run.Task);
  if (Task == nullptr || Task->Done)
    return end_effect::None;
  markStarted();
  const bool LongRunning = stepSpec(Run.Task)->LongRunning;
  if (!LongRunning) {
    if (std::ranges::find(Task->FailedRuns, Run.Number) !=
        Task->FailedRuns.end())
      return end_effect::None;
    Task->FailedRuns.push_back(Run.Number);
  }
  ++Task->Failures;
  if (!reachedLimit(*stepSpec(Run.Task), *Task))
    return end_effect::TaskFailed;
  State = job_state::Failed;
  return end_effect::JobFailed;
}

void job::dropWork() noexcept {
  Spec = {};
  OpenOccurrences.clear();
}

bool job::cancel() noexcept {
  if (ended())
    return false;
  State = job_state::Cancelled;
  return true;
}

} // namespace galenalink::job
