#include "galenalink/job/callers.hpp"
#include "galenalink/telemetry/log.hpp"
#include <algorithm>
#include <numeric>

namespace galenalink::job {

namespace {

using verdict = caller_reply::verdict;

constexpr telemetry::logger Log{"callers"};

/** Tasks of one job; more are refused. */
constexpr std::uint64_t MaxTasks = 20000;
/** Jobs that are kept; more are refused until some are forgotten. */
constexpr std::size_t MaxJobs = 200000;
constexpr std::uint32_t BusyRetryMs = 1000;
/** A new leader knows its backend servers after this time. */
constexpr duration ServersHeardOf = std::chrono::milliseconds{1000};

caller_reply refused(std::string Reason, const std::uint32_t RetryAfterMs) {
  caller_reply Reply;
  Reply.Verdict = verdict::Refused;
  Reply.RetryAfterMs = RetryAfterMs;
  Reply.Reason = std::move(Reason);
  return Reply;
}

caller_reply ok(const job_state State) {
  caller_reply Reply;
  Reply.Verdict = verdict::Ok;
  Reply.State = State;
  return Reply;
}

double stepWork(const leader &Leader, const std::string &Queue,
                const step_spec &Step, const std::size_t Tasks) {
  return Step.LongRunning || Step.BestEffort
             ? 0
             : static_cast<double>(Tasks) * static_cast<double>(Step.Size.Cpu) *
                   Leader.Times.predictMs(Queue, Step.EstimateMs);
}

admission decide(leader &Leader, const queue_rule &Rule, const std::string &Id,
                 const job_spec &Spec) {
  admission_request Request;
  Request.ChainMs = criticalPathMs(Leader, Rule.Name, Spec);
  Request.ObjectiveMs = Rule.Stretch * Request.ChainMs + Rule.SlackMs;
  for (const auto &Step : Spec.Steps)
    Request.Work += stepWork(Leader, Rule.Name, Step, Step.Count);
  // Demand is what callers ask for, whether it fits or not, but each job once.
  if (Leader.SeenJobs.add(Id, Leader.Now())) {
    Leader.Demand[Rule.Pool].arrived(Leader.Now(), Request.Work);
    Leader.Forecast.arrived(Rule.Pool, Request.Work, Leader.Wall());
  }
  const pool_load Load = loadOf(Leader, Rule.Pool);
  // A new leader has not heard of its backend servers yet; that is no lack of
  // room.
  if (Load.Capacity <= 0 &&
      Leader.Now() < Leader.LeadingSince + ServersHeardOf) {
    admission Accepted;
    Accepted.Verdict = admission_verdict::InTime;
    return Accepted;
  }
  return admit(Load, Request);
}

void accept(leader &Leader, const queue_rule &Rule, const std::string &Id,
            job_spec Spec, const bool Deferred, reply_function Reply) {
  job_entry &Entry = addJob(
      Leader, job{Id, Rule.Name, Rule.Pool, std::move(Spec), Leader.Wall()});
  Entry.Deferred = Deferred;
  Entry.OnStored.push_back(std::move(Reply));
  openDueOccurrences(Leader, Entry);
  Leader.Journal.put("j" + Id, [&Leader, Id]() -> std::optional<std::string> {
    const job_entry *Found = Leader.findJob(Id);
    return Found == nullptr ? std::nullopt
                            : std::optional{toRecord(Found->Job)};
  });
  Leader.Journal.whenStored([&Leader, Id] {
    job_entry *Found = Leader.findJob(Id);
    if (Found == nullptr)
      return;
    Found->Stored = true;
    Leader.NeedsDispatch = true;
    for (const auto &Each : std::exchange(Found->OnStored, {}))
      Each(ok(Found->StoredState));
  });
}

/** @brief Properties of the job's steps that bind its placement. */
std::string traitsOf(const queue_rule &Rule, const job_spec &Spec) {
  std::string Traits = Rule.Advice ? "advised " : "";
  const auto Add = [&](const std::string_view Name, const auto &Has) {
    if (std::ranges::any_of(Spec.Steps, Has))
      Traits += std::string{Name} + " ";
  };
  Add("lasts", [](const step_spec &Step) { return Step.LongRunning; });
  Add("fills", [](const step_spec &Step) { return Step.BestEffort; });
  Add("serves", [](const step_spec &Step) { return Step.TargetMs > 0; });
  Add("gang", [](const step_spec &Step) { return Step.Gang; });
  Add("copies", [](const step_spec &Step) { return Step.Speculative; });
  Add("label", [](const step_spec &Step) { return !Step.Label.empty(); });
  Add("rack", [](const step_spec &Step) { return !Step.Rack.empty(); });
  Add("spread", [](const step_spec &Step) { return Step.MaxPerServer > 0; });
  if (!Traits.empty())
    Traits.pop_back();
  return Traits;
}

void logDecision(const leader &Leader, const queue_rule &Rule,
                 const std::string &Id, const job_spec &Spec,
                 const admission &Admission) {
  const pool_load Load = loadOf(Leader, Rule.Pool);
  const auto Number = [](const double Value) {
    return std::to_string(static_cast<std::int64_t>(Value));
  };
  Log.info("admission", {{"job", Id},
                         {"queue", Rule.Name},
                         {"verdict", std::string{nameOf(AdmissionVerdictNames,
                                                        Admission.Verdict)}},
                         {"finish_ms", Number(Admission.FinishMs)},
                         {"retry_ms", Admission.RetryAfterMs},
                         {"capacity", Number(Load.Capacity)},
                         {"in_time_work", Number(Load.InTimeWork)},
                         {"deferred_work", Number(Load.DeferredWork)},
                         {"steps", Spec.Steps.size()},
                         {"times", Spec.Times},
                         {"traits", traitsOf(Rule, Spec)},
                         {"rules", Leader.Rules.Version}});
}

} // namespace

double workLeft(const leader &Leader, const job &Job) {
  double Work = 0;
  for (const auto &Occurrence : Job.openOccurrences()) {
    for (std::size_t I = 0; I < Occurrence.Steps.size(); ++I) {
      const step &Step = Occurrence.Steps[I];
      Work += stepWork(Leader, Job.queue(), Job.spec().Steps[I],
                       Step.Tasks.size() - Step.Done);
    }
  }
  return Work;
}

pool_load loadOf(const leader &Leader, const std::string_view Pool) {
  pool_load Load;
  for (const auto &[Id, Server] : Leader.Servers) {
    const bool Serves = Server->Entry.Pool == Pool && Server->Registered &&
                        Server->Usable && !Server->Entry.Draining &&
                        !Server->Reserved;
    if (!Serves)
      continue;
    Load.Capacity += static_cast<double>(Server->Entry.Capacity.Cpu);
    for (const auto &[Run, State] : Server->Runs) {
      if (State.LongRunning && !State.BestEffort)
        Load.Capacity -= static_cast<double>(State.Size.Cpu);
    }
  }
  const time_point Now = Leader.Now();
  for (const auto &[Id, Entry] : Leader.OpenJobs) {
    if (Entry->Job.pool() != Pool || Entry->Job.openOccurrences().empty())
      continue;
    const bool InTime = !Entry->Deferred &&
                        Now < Entry->Job.openOccurrences().front().Objective;
    (InTime ? Load.InTimeWork : Load.DeferredWork) +=
        workLeft(Leader, Entry->Job);
  }
  return Load;
}

void promoteDeferred(leader &Leader) {
  std::map<std::string, pool_load> Loads;
  const time_point Now = Leader.Now();
  for (auto &[Id, Entry] : Leader.OpenJobs) {
    if (!Entry->Deferred || Entry->Job.openOccurrences().empty())
      continue;
    const auto [Load, Added] = Loads.try_emplace(Entry->Job.pool());
    if (Added)
      Load->second = loadOf(Leader, Entry->Job.pool());
    const occurrence &Occurrence = Entry->Job.openOccurrences().front();
    const std::chrono::duration<double, std::milli> Left =
        Occurrence.Objective - Now;
    admission_request Request;
    Request.ChainMs = remainingCriticalPathMs(Leader, Entry->Job, Occurrence);
    Request.Work = workLeft(Leader, Entry->Job);
    Request.ObjectiveMs = std::max(Left.count(), 0.0);
    if (admit(Load->second, Request).Verdict != admission_verdict::InTime)
      continue;
    Log.info("promoted", {{"job", Id}, {"queue", Entry->Job.queue()}});
    Entry->Deferred = false;
    Load->second.InTimeWork += Request.Work;
    Load->second.DeferredWork -= Request.Work;
    Leader.NeedsDispatch = true;
  }
}

void submitJob(leader &Leader, const std::string &Queue, const std::string &Id,
               job_spec Spec, reply_function Reply) {
  if (job_entry *Known = Leader.findJob(Id)) {
    if (Known->Stored)
      Reply(ok(Known->StoredState));
    else
      Known->OnStored.push_back(std::move(Reply));
    return;
  }
  const queue_rule *Rule = Leader.Rules.queue(Queue);
  if (Rule == nullptr) {
    caller_reply None;
    None.Verdict = verdict::NoQueue;
    Reply(None);
    return;
  }
  const auto Tasks =
      std::accumulate(Spec.Steps.begin(), Spec.Steps.end(), std::uint64_t{0},
                      [](const std::uint64_t Sum, const step_spec &Step) {
                        return Sum + Step.Count;
                      });
  if (Tasks > MaxTasks || Leader.Jobs.size() >= MaxJobs) {
    Reply(refused("too many tasks or jobs", BusyRetryMs));
    return;
  }
  if (!Leader.Journal.healthy()) {
    Log.warning("admission", {{"job", Id},
                              {"queue", Queue},
                              {"verdict", "refused"},
                              {"why", "the store does not answer"}});
    Reply(refused("the store does not answer", BusyRetryMs));
    return;
  }
  admission Admission;
  Admission.Verdict = admission_verdict::InTime;
  if (!Spec.isLongRunning() && Spec.Times == 0)
    Admission = decide(Leader, *Rule, Id, Spec);
  logDecision(Leader, *Rule, Id, Spec, Admission);
  if (Admission.Verdict == admission_verdict::Refused) {
    ++Leader.Counts->Refused;
    Reply(refused("the pool is full", Admission.RetryAfterMs));
    return;
  }
  ++(Admission.Verdict == admission_verdict::Deferred
         ? Leader.Counts->AdmittedDeferred
         : Leader.Counts->AdmittedInTime);
  accept(Leader, *Rule, Id, std::move(Spec),
         Admission.Verdict == admission_verdict::Deferred, std::move(Reply));
}

caller_reply queryJob(const leader &Leader, const std::string &Id) {
  const job_entry *Entry = Leader.findJob(Id);
  if (Entry == nullptr) {
    caller_reply Reply;
    Reply.Verdict = verdict::NoJob;
    return Reply;
  }
  const bool Started = Entry->StoredState == job_state::Queued &&
                       Entry->Job.state() != job_state::Queued;
  return ok(Started ? job_state::Running : Entry->StoredState);
}

void cancelJob(leader &Leader, const std::string &Id, reply_function Reply) {
  job_entry *Entry = Leader.findJob(Id);
  if (Entry == nullptr) {
    caller_reply None;
    None.Verdict = verdict::NoJob;
    Reply(None);
    return;
  }
  if (Entry->Job.cancel()) {
    Log.info("cancel", {{"job", Id}, {"queue", Entry->Job.queue()}});
    recordProgress(Leader, *Entry);
    endJob(Leader, *Entry);
  }
  Leader.Journal.whenStored(
      [Reply = std::move(Reply)] { Reply(ok(job_state::Cancelled)); });
}

caller_reply pendingJobs(const leader &Leader, const std::string &Queue) {
  caller_reply Reply = ok(job_state::Queued);
  for (const auto &[Id, Entry] : Leader.OpenJobs) {
    if (Entry->Job.queue() == Queue && Entry->Job.state() == job_state::Queued)
      ++Reply.Pending;
  }
  return Reply;
}

} // namespace galenalink::job
