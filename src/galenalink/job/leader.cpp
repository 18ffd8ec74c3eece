#include "galenalink/job/leader.hpp"
#include "galenalink/job/customers.hpp"
#include "galenalink/job/occurrences.hpp"
#include "galenalink/job/runs.hpp"
#include "galenalink/telemetry/log.hpp"
#include <algorithm>

namespace galenalink::job {

namespace {

constexpr telemetry::logger Log{"leader"};

} // namespace

leader::leader(const ports &Ports, leader_settings Settings,
               const std::uint64_t Epoch, std::function<time_point()> Now,
               std::function<wall_ms()> Wall, fenced_function OnFenced)
    : Ports{Ports}, Settings{std::move(Settings)}, Epoch{Epoch},
      Now{std::move(Now)}, Wall{std::move(Wall)}, OnFenced{std::move(OnFenced)},
      Journal{{Ports.Append, this->Now,
               [OnFenced = this->OnFenced] { OnFenced("store"); }},
              Epoch},
      JobMemory{this->Settings.JobMemory}, Rates{this->Settings.RateWindow},
      LeadingSince{this->Now()}, PredecessorSeenAt{LeadingSince},
      StartWindow{this->Settings.Starts} {}

void requestDispatch(leader &Leader, const std::string &Pool,
                     const time_point Due) {
  const auto [Entry, Added] = Leader.DispatchDue.try_emplace(Pool, Due);
  Entry->second = std::min(Entry->second, Due);
}

void requestDispatchOfAllPools(leader &Leader) {
  // The current rules may lack a pool that has accepted jobs.
  for (const auto &[Id, Entry] : Leader.OpenJobs.active())
    requestDispatch(Leader, Entry->Job.pool());
}

void reportFenced(const leader &Leader, const std::string_view ServerId) {
  Leader.OnFenced("backend server " + std::string{ServerId});
}

server &addServer(leader &Leader, const registration &Entry) {
  auto &Slot = Leader.Servers[Entry.Id];
  if (Slot)
    Leader.ServersByPool.remove(*Slot);
  Slot = std::make_unique<server>();
  Slot->Entry = Entry;
  Slot->Locations = &Leader.RunLocations;
  Slot->Quotas = &Leader.Quotas;
  Leader.ServersByPool.add(*Slot);
  return *Slot;
}

void removeServer(leader &Leader, const std::string &Id) {
  const auto Found = Leader.Servers.find(Id);
  if (Found == Leader.Servers.end())
    return;
  Leader.ServersByPool.remove(*Found->second);
  Leader.Servers.erase(Found);
}

void setRegistration(leader &Leader, server &Server,
                     const registration &Entry) {
  Leader.ServersByPool.remove(Server);
  Server.Entry = Entry;
  Leader.ServersByPool.add(Server);
}

job_entry &addJob(leader &Leader, job Job) {
  const std::string Id = Job.id();
  auto &Slot = Leader.Jobs[Id];
  Slot = std::make_unique<job_entry>(std::move(Job));
  Leader.OpenJobs.insert(*Slot);
  Leader.JobMemory.update(*Slot);
  return *Slot;
}

void storeJob(leader &Leader, const std::string &Id) {
  Leader.Journal.put("j" + Id, [&Leader, Id]() -> std::optional<std::string> {
    const job_entry *Found = Leader.findJob(Id);
    return Found == nullptr ? std::nullopt
                            : std::optional{toRecord(Found->Job)};
  });
}

void updateIndexes(leader &Leader, job_entry &Entry) {
  Leader.OpenJobs.update(Entry);
  Leader.JobMemory.update(Entry);
}

void recordProgress(leader &Leader, job_entry &Entry) {
  updateIndexes(Leader, Entry);
  const std::string Id = Entry.Job.id();
  Leader.Journal.put("p" + Id, [&Leader, Id]() -> std::optional<std::string> {
    const job_entry *Found = Leader.findJob(Id);
    return Found == nullptr ? std::nullopt
                            : std::optional{Found->Job.progressRecord()};
  });
  // Captures the current state: a later change is reported by its own call once
  // it is stored.
  Leader.Journal.whenStored([&Leader, Id, State = Entry.Job.state(),
                             DoneCount = Entry.Job.doneCount()] {
    job_entry *Found = Leader.findJob(Id);
    if (Found == nullptr)
      return;
    Found->StoredState = std::max(Found->StoredState, State);
    if (DoneCount <= Found->StoredDoneCount)
      return;
    Found->StoredDoneCount = DoneCount;
    Leader.JobMemory.update(*Found);
  });
}

void addEndedJob(leader &Leader, job_entry &Entry) {
  Entry.EndedAt = Leader.Now();
  Leader.OpenJobs.erase(Entry);
  Leader.JobMemory.update(Entry);
  Leader.EndedJobs.push_back(Entry.Job.id());
  if (!Entry.Compacted)
    Leader.UncompactedJobs.push_back(Entry.Job.id());
}

void endJob(leader &Leader, job_entry &Entry) {
  addEndedJob(Leader, Entry);
  Leader.Tickets.eraseJob(Entry.Job.id());
  requestDispatch(Leader, Entry.Job.pool());
  stopJobRuns(Leader, Entry.Job.id());
}

namespace {

/** @brief Length of the longest chain of dependent steps, ms.
 * @param StepMs Returns the duration of a step by its index, ms. */
template <typename Function>
double criticalPath(const job_spec &Spec, const Function &StepMs) {
  std::vector<double> Ends;
  double Longest = 0;
  for (std::size_t I = 0; I < Spec.Steps.size(); ++I) {
    double Begin = 0;
    for (const auto Earlier : Spec.Steps[I].DependsOn) {
      if (Earlier < Ends.size())
        Begin = std::max(Begin, Ends[Earlier]);
    }
    Ends.push_back(Begin + StepMs(I));
    Longest = std::max(Longest, Ends.back());
  }
  return Longest;
}

} // namespace

double criticalPathMs(const leader &Leader, const std::string &Queue,
                      const job_rule *Rule, const job_spec &Spec) {
  const double TicketMs = ticketLatencyMs(Rule);
  return criticalPath(Spec, [&](const std::size_t I) {
    return TicketMs +
           Leader.Durations.predictMs(Queue, Spec.Steps[I].EstimateMs);
  });
}

double remainingCriticalPathMs(const leader &Leader, const job &Job,
                               const occurrence &Occurrence) {
  /** Average share of a step's duration that remains while its tasks run. */
  constexpr double RunningRemainder = 0.5;
  return criticalPath(Job.spec(), [&](const std::size_t I) {
    const step &Step = Occurrence.Steps[I];
    if (Step.done())
      return 0.0;
    const bool AllRunning =
        std::ranges::all_of(Step.Tasks, [](const task &Each) {
          return Each.Done || Each.Runs > 0;
        });
    return Leader.Durations.predictMs(Job.queue(),
                                      Job.spec().Steps[I].EstimateMs) *
           (AllRunning ? RunningRemainder : 1);
  });
}

std::size_t countOpenJobsWithoutRule(const leader &Leader) {
  return static_cast<std::size_t>(
      std::ranges::count_if(Leader.OpenJobs.all(), [&](const auto &Each) {
        return Each.second->Job.rule() == nullptr;
      }));
}

namespace {

/** @brief Keeps the tasks of a moved job from starting until its record, which
 * was put before, is stored. */
void awaitStoredPool(leader &Leader, job_entry &Entry) {
  Entry.PoolStored = false;
  Leader.Journal.whenStored(
      [&Leader, Id = Entry.Job.id(), Pool = Entry.Job.pool()] {
        job_entry *Found = Leader.findJob(Id);
        if (Found == nullptr || Found->Job.pool() != Pool)
          return;
        Found->PoolStored = true;
        requestDispatch(Leader, Pool);
      });
}

} // namespace

void applyRules(leader &Leader) {
  if (Leader.Rules.Version < Leader.AppliedRulesVersion)
    return;
  if (Leader.Rules.Version > Leader.AppliedRulesVersion) {
    Leader.AppliedRulesVersion = Leader.Rules.Version;
    // Put before the records that this version changes, so that no append
    // stores them earlier.
    Leader.Journal.put("c", [&Leader] {
      return std::optional{std::to_string(Leader.AppliedRulesVersion)};
    });
  }
  applyCustomerRules(Leader);
  std::vector<job_entry *> Failed;
  for (const auto &[Id, Entry] : Leader.OpenJobs.all()) {
    const queue_rule *Rule = Leader.Rules.queue(Entry->Job.queue());
    const std::string Pool = Entry->Job.pool();
    if (Rule == nullptr || !Entry->Job.adoptRule(*Rule, Leader.Rules.Version))
      continue;
    storeJob(Leader, Id);
    if (Entry->Job.pool() != Pool)
      awaitStoredPool(Leader, *Entry);
    setObjectives(Leader, *Entry);
    if (Entry->Job.failAtLimit())
      Failed.push_back(Entry);
  }
  for (job_entry *Entry : Failed) {
    ++Leader.Counts->JobsFailed;
    Log.info("job failed by a limit learned now",
             {{"job", Entry->Job.id()},
              {"attempts", Entry->Job.rule()->MaxAttempts},
              {"rules", Leader.Rules.Version}});
    recordProgress(Leader, *Entry);
    endJob(Leader, *Entry);
  }
}

void compactEndedJobs(leader &Leader) {
  std::vector<std::string> Ids = std::exchange(Leader.UncompactedJobs, {});
  std::ranges::sort(Ids);
  bool AnyCompacted = false;
  for (auto &Id : Ids) {
    job_entry *Entry = Leader.findJob(Id);
    if (Entry == nullptr || Entry->Compacted)
      continue;
    // The final state must be stored before the job record is removed.
    if (Entry->StoredState != Entry->Job.state()) {
      Leader.UncompactedJobs.push_back(std::move(Id));
      continue;
    }
    AnyCompacted = true;
    Entry->Compacted = true;
    Entry->Job.dropWork();
    Leader.JobMemory.update(*Entry);
    Leader.Journal.put("j" + Id, [] { return std::optional<std::string>{}; });
  }
  if (AnyCompacted)
    Leader.Journal.put(
        "l", [&Leader] { return std::optional{toRecord(Leader.Durations)}; });
}

namespace {

/** @brief Takes the ids of the jobs that ended at or before the given time. */
std::vector<std::string> takeEndedUntil(leader &Leader, const time_point Time) {
  std::vector<std::string> Ids;
  while (!Leader.EndedJobs.empty()) {
    const job_entry *Entry = Leader.findJob(Leader.EndedJobs.front());
    if (Entry != nullptr && Entry->EndedAt > Time)
      break;
    if (Entry != nullptr)
      Ids.push_back(std::move(Leader.EndedJobs.front()));
    Leader.EndedJobs.pop_front();
  }
  std::ranges::sort(Ids);
  return Ids;
}

} // namespace

void removeExpiredJobs(leader &Leader) {
  const time_point Oldest = Leader.Now() - Leader.Settings.EndedJobRetention;
  const auto Remove = [] { return std::optional<std::string>{}; };
  for (const auto &Id : takeEndedUntil(Leader, Oldest)) {
    job_entry &Entry = *Leader.findJob(Id);
    Leader.JobMemory.release(Entry);
    if (!Entry.Compacted)
      Leader.Journal.put("j" + Id, Remove);
    Leader.Journal.put("p" + Id, Remove);
    Leader.Jobs.erase(Id);
  }
}

} // namespace galenalink::job
