#include "galenalink/job/job.hpp"
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
  if (ended() || Opened >= Spec.occurrences())
    return std::nullopt;
  if (Spec.Times == 0)
    return AcceptedMs;
  return Spec.StartAtMs + static_cast<wall_ms>(Opened) * Spec.IntervalMs;
}

occurrence &job::openNext() {
  auto &Added = Open.emplace_back();
  Added.DueMs = nextDue().value_or(AcceptedMs);
  Added.Number = Opened++;
  Added.Steps.resize(Spec.Steps.size());
  for (std::size_t I = 0; I < Spec.Steps.size(); ++I)
    Added.Steps[I].Tasks.resize(Spec.Steps[I].Count);
  return Added;
}

task *job::find(const task_id &Id) noexcept {
  for (auto &Each : Open) {
    if (Each.Number != Id.Occurrence)
      continue;
    if (Id.Step >= Each.Steps.size() ||
        Id.Index >= Each.Steps[Id.Step].Tasks.size())
      return nullptr;
    return &Each.Steps[Id.Step].Tasks[Id.Index];
  }
  return nullptr;
}

const step_spec *job::specOf(const task_id &Id) const noexcept {
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

bool job::wants(const task_id &Id) noexcept {
  const task *Task = ended() ? nullptr : find(Id);
  return Task != nullptr && !Task->Done;
}

void job::started() noexcept {
  if (State == job_state::Queued)
    State = job_state::Running;
}

void job::closeDone() {
  std::erase_if(Open, [](const occurrence &Each) { return Each.done(); });
  if (Open.empty() && Opened >= Spec.occurrences())
    State = job_state::Completed;
}

end_effect job::taskDone(const task_id &Id) {
  task *Task = ended() ? nullptr : find(Id);
  if (Task == nullptr || Task->Done || specOf(Id)->Lasts)
    return end_effect::None;
  started();
  const auto Occurrence =
      std::ranges::find(Open, Id.Occurrence, &occurrence::Number);
  step &Step = Occurrence->Steps[Id.Step];
  const auto Finish = [&](task &Each) {
    Step.Done += Each.Done ? 0 : 1;
    Each.Done = true;
    Each.Saved.clear();
  };
  // The members of a gang end together, and one end stands for all.
  if (specOf(Id)->Gang)
    std::ranges::for_each(Step.Tasks, Finish);
  else
    Finish(*Task);
  closeDone();
  return State == job_state::Completed ? end_effect::JobCompleted
                                       : end_effect::TaskDone;
}

end_effect job::taskFailed(const run_id &Run, const std::uint32_t MaxAttempts) {
  task *Task = ended() ? nullptr : find(Run.Task);
  if (Task == nullptr || Task->Done)
    return end_effect::None;
  started();
  const bool Lasts = specOf(Run.Task)->Lasts;
  if (!Lasts) {
    if (std::ranges::find(Task->FailedRuns, Run.Number) !=
        Task->FailedRuns.end())
      return end_effect::None;
    Task->FailedRuns.push_back(Run.Number);
  }
  ++Task->Failures;
  if (Lasts || Task->Failures < MaxAttempts)
    return end_effect::TaskFailed;
  State = job_state::Failed;
  return end_effect::JobFailed;
}

void job::dropWork() noexcept {
  Spec = {};
  Open.clear();
}

bool job::cancel() noexcept {
  if (ended())
    return false;
  State = job_state::Cancelled;
  return true;
}

} // namespace galenalink::job
