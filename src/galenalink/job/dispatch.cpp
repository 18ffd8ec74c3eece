#include "galenalink/job/dispatch.hpp"
#include "galenalink/job/customers.hpp"
#include "galenalink/job/load_shedding.hpp"
#include "galenalink/job/placement.hpp"
#include "galenalink/job/runs.hpp"
#include "galenalink/job/server_watch.hpp"
#include "galenalink/telemetry/log.hpp"
#include <algorithm>
#include <tuple>

namespace galenalink::job {

namespace {

constexpr telemetry::logger Log{"dispatch"};

/** Factor on the estimated remaining time, so that an overestimate does not
 * make a job count as late. */
constexpr double EstimateDiscount = 0.7;
/** Pool load above which no expired work is started, as a share of the CPU
 * capacity. */
constexpr double MaxLoadForExpired = 0.5;

/** Interval at which tasks are looked at that wait for a confirmation of the
 * leadership. */
constexpr duration ConfirmationRetryInterval = std::chrono::milliseconds{20};

/** Placement order, most urgent first. */
enum class urgency : std::uint8_t {
  LongRunning,
  InTime,
  /** Can meet its objective if other work leaves capacity. */
  Deferred,
  /** Can't meet its objective any more. */
  Late,
  /** Finishing it is worth nothing to the caller any more. */
  Expired,
};

// Log values; those of LongRunning and Expired differ from the enumerators.
constexpr enum_names<urgency, 5> UrgencyNames{{
    {urgency::LongRunning, "lasting"},
    {urgency::InTime, "in-time"},
    {urgency::Deferred, "deferred"},
    {urgency::Late, "late"},
    {urgency::Expired, "worthless"},
}};

struct candidate {
  job_entry *Entry{nullptr};
  occurrence *Occurrence{nullptr};
  std::uint32_t Step{0};
  urgency Urgency{urgency::InTime};
  std::uint32_t Priority{0};
  /** The customer holds more than its share of the pool. */
  bool AboveShare{false};
  /** Position among candidates of the same urgency and priority, before the
   * deadline. */
  double Rank{0};
  time_point Deadline;

  [[nodiscard]] auto rank() const {
    return std::tuple{AboveShare, Urgency, Priority, Rank, Deadline};
  }
};

/** @brief Whether the remaining work can end by the occurrence's objective. */
bool canMeetObjective(const leader &Leader, const job &Job,
                      const occurrence &Occurrence) {
  const double LeftMs =
      remainingCriticalPathMs(Leader, Job, Occurrence) * EstimateDiscount;
  const duration Left{static_cast<std::int64_t>(LeftMs * 1000)};
  return Leader.Now() + Left <= Occurrence.Objective;
}

urgency urgencyOf(const leader &Leader, const job_entry &Entry,
                  const occurrence &Occurrence, const step_spec &Step) {
  if (Step.LongRunning)
    return urgency::LongRunning;
  if (canMeetObjective(Leader, Entry.Job, Occurrence))
    return Entry.Deferred ? urgency::Deferred : urgency::InTime;
  return Leader.Now() < Occurrence.Expiry ? urgency::Late : urgency::Expired;
}

bool isAboveShare(const leader &Leader, const job_entry &Entry,
                  const step_spec &Step) {
  return !Step.LongRunning &&
         Leader.Shares.isAbove(Entry.Job.pool(), Entry.Job.customer());
}

/** @brief Jobs within their objective run by their deadlines alone. */
double rankOf(const leader &Leader, const job_entry &Entry,
              const urgency Urgency) {
  return Leader.shedsLoad() && Urgency > urgency::InTime
             ? sheddingRank(Entry.Work)
             : 0;
}

bool isWaiting(const leader &Leader, const job &Job, const step_spec &Step,
               const task &Task) {
  return !Task.Done && Task.Runs == 0 && Task.NotBefore <= Leader.Now() &&
         wasSoleLeaderAt(Leader, Task.ReleasedAt) && Job.permitsRun(Step, Task);
}

/** @brief Requests an append that shows whether there is a successor, and
 * dispatch of the pool once it may have succeeded. */
void awaitConfirmation(leader &Leader, const std::string &Pool) {
  if (Leader.ConfirmLeadership)
    Leader.ConfirmLeadership();
  requestDispatch(Leader, Pool, Leader.Now() + ConfirmationRetryInterval);
}

/** @param MaxFree The largest amount of each resource that is free on any one
 * backend server. Larger steps wait for the dispatch that follows a release, so
 * their tasks are not looked at. */
void addCandidates(leader &Leader, job_entry &Entry, const resources &MaxFree,
                   std::vector<candidate> &Out) {
  const time_point Now = Leader.Now();
  const job_rule *Rule = Entry.Job.rule();
  const auto MayStart = [&](const step_spec &Spec, const task &Each) {
    const bool BacksOff = !Each.Done && Each.Runs == 0 && Each.NotBefore > Now;
    if (BacksOff)
      requestDispatch(Leader, Entry.Job.pool(), Each.NotBefore);
    if (!Each.Done && !wasSoleLeaderAt(Leader, Each.ReleasedAt))
      awaitConfirmation(Leader, Entry.Job.pool());
    return isWaiting(Leader, Entry.Job, Spec, Each);
  };
  for (auto &Occurrence : Entry.Job.openOccurrences()) {
    for (std::uint32_t I = 0; I < Occurrence.Steps.size(); ++I) {
      const step &Step = Occurrence.Steps[I];
      const step_spec &Spec = Entry.Job.spec().Steps[I];
      const bool Fits =
          server::chargedResources(Spec.Size, Spec.BestEffort).fits(MaxFree);
      const bool Waits = Fits && !Step.done() &&
                         Entry.Job.ready(Occurrence, I) &&
                         std::ranges::any_of(Step.Tasks, [&](const task &Each) {
                           return MayStart(Spec, Each);
                         });
      if (!Waits)
        continue;
      const urgency Urgency = urgencyOf(Leader, Entry, Occurrence, Spec);
      Out.push_back({&Entry, &Occurrence, I, Urgency,
                     Rule == nullptr ? 0 : Rule->Priority,
                     isAboveShare(Leader, Entry, Spec),
                     rankOf(Leader, Entry, Urgency), Occurrence.Objective});
    }
  }
}

std::vector<candidate> candidatesOf(leader &Leader, const std::string_view Pool,
                                    const resources &MaxFree) {
  std::vector<candidate> Candidates;
  const bool Unknown = runsUnknown(Leader, Pool);
  for (const auto &[Id, Entry] : Leader.OpenJobs.active()) {
    if (Entry->Job.pool() != Pool || !Entry->Stored || !Entry->PoolStored)
      continue;
    // Whether its tasks need tickets is not known before rules are applied.
    const bool RulesApplied =
        Leader.Rules.Version != 0 &&
        Leader.Rules.Version >= Leader.AppliedRulesVersion;
    if (Entry->Job.rule() == nullptr && !RulesApplied)
      continue;
    const bool Blocked =
        Entry->Recovered &&
        (Unknown || std::ranges::any_of(Entry->Job.formerPools(),
                                        [&](const std::string &Former) {
                                          return runsUnknown(Leader, Former);
                                        }));
    if (!Blocked)
      addCandidates(Leader, *Entry, MaxFree, Candidates);
  }
  std::ranges::sort(Candidates, {}, &candidate::rank);
  return Candidates;
}

/** @return Share of the CPU capacity that is in use. */
double loadOf(const std::vector<server *> &Servers) {
  std::int64_t Used = 0;
  std::int64_t Capacity = 0;
  for (const server *Each : Servers) {
    Used += Each->Totals.Used.Cpu;
    Capacity += Each->Entry.Capacity.Cpu;
  }
  return Capacity == 0
             ? 1
             : static_cast<double>(Used) / static_cast<double>(Capacity);
}

void logRunStart(const task_id &Task, const server &Server,
                 const candidate &Candidate, const std::uint64_t Number) {
  Log.info("start",
           {{"job", Task.Job},
            {"occurrence", Task.Occurrence},
            {"step", Task.Step},
            {"index", Task.Index},
            {"number", Number},
            {"server", Server.Entry.Id},
            {"free_cpu", std::to_string(Server.free().Cpu)},
            {"urgency", std::string{nameOf(UrgencyNames, Candidate.Urgency)}}});
}

void startTasks(leader &Leader, const candidate &Candidate,
                const std::vector<server *> &Servers) {
  job_entry &Entry = *Candidate.Entry;
  const step_spec &Spec = Entry.Job.spec().Steps[Candidate.Step];
  auto &Tasks = Candidate.Occurrence->Steps[Candidate.Step].Tasks;
  for (std::uint32_t I = 0; I < Tasks.size(); ++I) {
    if (!isWaiting(Leader, Entry.Job, Spec, Tasks[I]))
      continue;
    if (!Leader.StartWindow.open())
      return;
    if (!Leader.Quotas.permits(Entry.Job.customer(), Spec.Size)) {
      Leader.Quotas.markWaiting(Entry.Job.customer(), Entry.Job.pool());
      return;
    }
    placement_request Request;
    Request.Step = &Spec;
    Request.Task = {Entry.Job.id(), Candidate.Occurrence->Number,
                    Candidate.Step, I};
    server *Server = chooseServer(Servers, Request);
    if (Server == nullptr)
      return;
    const auto Number = nextRunNumber(Leader, Tasks[I]);
    logRunStart(Request.Task, *Server, Candidate, Number);
    startRun(Leader, *Server, Entry, Request.Task, Number);
  }
}

/** @brief Chooses a backend server for each task of a gang, by reserving its
 * resources temporarily.
 * @return Empty if the gang does not fit as a whole. */
std::vector<server *> planGang(const std::vector<server *> &Servers,
                               const placement_request &Base,
                               const std::size_t Count) {
  std::vector<server *> Plan;
  for (std::size_t I = 0; I < Count; ++I) {
    placement_request Request = Base;
    Request.Task.Index = static_cast<std::uint32_t>(I);
    server *Server = chooseServer(Servers, Request);
    if (Server == nullptr)
      break;
    run Run;
    Run.Size = Request.Step->Size;
    Run.BestEffort = Request.Step->BestEffort;
    Server->addRun({Request.Task, 0}, Run);
    Plan.push_back(Server);
  }
  for (std::size_t I = 0; I < Plan.size(); ++I) {
    task_id Task = Base.Task;
    Task.Index = static_cast<std::uint32_t>(I);
    Plan[I]->eraseRun({Task, 0});
  }
  if (Plan.size() < Count)
    Plan.clear();
  return Plan;
}

/** @brief Starts all tasks of a gang or none. */
void startGang(leader &Leader, const candidate &Candidate,
               const std::vector<server *> &Servers) {
  job_entry &Entry = *Candidate.Entry;
  const step_spec &Spec = Entry.Job.spec().Steps[Candidate.Step];
  auto &Tasks = Candidate.Occurrence->Steps[Candidate.Step].Tasks;
  const bool AllWait = std::ranges::all_of(Tasks, [&](const task &Each) {
    return isWaiting(Leader, Entry.Job, Spec, Each);
  });
  if (!AllWait)
    return;
  if (!Leader.Quotas.permitsAll(Entry.Job.customer(), Spec.Size,
                                Tasks.size())) {
    Leader.Quotas.markWaiting(Entry.Job.customer(), Entry.Job.pool());
    return;
  }
  placement_request Request;
  Request.Step = &Spec;
  Request.Task = {Entry.Job.id(), Candidate.Occurrence->Number, Candidate.Step,
                  0};
  std::vector<server *> Plan;
  if (Spec.SameRack) {
    for (const server *Each : Servers) {
      Request.RequiredRack = Each->rack();
      Plan = planGang(Servers, Request, Tasks.size());
      if (!Plan.empty())
        break;
    }
    Request.RequiredRack = {};
  }
  if (Plan.empty())
    Plan = planGang(Servers, Request, Tasks.size());
  std::uint64_t Number = 0;
  std::string Checkpoint;
  for (const task &Each : Tasks) {
    Number = std::max(Number, nextRunNumber(Leader, Each));
    Checkpoint = std::max(Checkpoint, Each.Checkpoint);
  }
  for (std::size_t I = 0; I < Plan.size(); ++I) {
    Tasks[I].Checkpoint = Checkpoint;
    Request.Task.Index = static_cast<std::uint32_t>(I);
    logRunStart(Request.Task, *Plan[I], Candidate, Number);
    startRun(Leader, *Plan[I], Entry, Request.Task, Number);
  }
}

std::size_t countWaitingTasks(const leader &Leader,
                              const candidate &Candidate) {
  const job &Job = Candidate.Entry->Job;
  const step_spec &Spec = Job.spec().Steps[Candidate.Step];
  return static_cast<std::size_t>(std::ranges::count_if(
      Candidate.Occurrence->Steps[Candidate.Step].Tasks,
      [&](const task &Each) { return isWaiting(Leader, Job, Spec, Each); }));
}

/** @brief Starts the tasks of a step that can be placed on permitted backend
 * servers, and requests tickets for the rest if the queue needs them. */
void startStep(leader &Leader, const candidate &Candidate,
               const std::vector<server *> &Servers) {
  const job_entry &Entry = *Candidate.Entry;
  const step_spec &Spec = Entry.Job.spec().Steps[Candidate.Step];
  const job_rule *Rule = Entry.Job.rule();
  const bool Advised = Rule != nullptr && Rule->Advice;
  const task_id Step{Entry.Job.id(), Candidate.Occurrence->Number,
                     Candidate.Step, 0};
  std::vector<server *> WithTicket;
  if (Advised)
    WithTicket = serversWithTicket(Leader, Step, Servers);
  const auto &Allowed = Advised ? WithTicket : Servers;
  if (Spec.Gang)
    startGang(Leader, Candidate, Allowed);
  else
    startTasks(Leader, Candidate, Allowed);
  if (!Advised)
    return;
  const std::size_t Waiting = countWaitingTasks(Leader, Candidate);
  if (Waiting > 0)
    requestTickets(Leader, Step, Spec, Waiting, Servers);
}

/** @return The largest amount of each resource that is free on any one of the
 * backend servers. */
resources maxFree(const std::vector<server *> &Servers) {
  resources Max;
  for (const server *Each : Servers) {
    const resources Free = Each->free();
    Max = {std::max(Max.Cpu, Free.Cpu), std::max(Max.Memory, Free.Memory),
           std::max(Max.Gpu, Free.Gpu)};
  }
  return Max;
}

void dispatchPool(leader &Leader, const std::string &Pool) {
  auto Servers = availableServers(Leader, Pool);
  if (Servers.empty())
    return;
  for (const candidate &Each : candidatesOf(Leader, Pool, maxFree(Servers))) {
    if (!Leader.StartWindow.open())
      break;
    const bool Full =
        Each.Urgency == urgency::Expired && loadOf(Servers) > MaxLoadForExpired;
    if (Full)
      break;
    startStep(Leader, Each, Servers);
  }
  if (!Leader.StartWindow.open())
    requestDispatch(Leader, Pool);
}

} // namespace

std::vector<server *> availableServers(leader &Leader,
                                       const std::string_view Pool) {
  const time_point Now = Leader.Now();
  std::vector<server *> Servers;
  for (server *Each : Leader.ServersByPool.of(Pool)) {
    if (acceptsWork(*Each, Now))
      Servers.push_back(Each);
  }
  return Servers;
}

namespace {

/** @return Pools in which a task may be able to start, beginning after the one
 * that was served last. */
std::vector<std::string> duePools(const leader &Leader) {
  std::vector<std::string> Pools;
  for (const auto &[Pool, Due] : Leader.DispatchDue) {
    if (Due <= Leader.Now())
      Pools.push_back(Pool);
  }
  std::rotate(
      Pools.begin(),
      std::upper_bound(Pools.begin(), Pools.end(), Leader.LastDispatchedPool),
      Pools.end());
  return Pools;
}

} // namespace

void dispatch(leader &Leader) {
  const time_point Now = Leader.Now();
  Leader.StartWindow.expire(Now);
  if (!mayGrantLeases(Leader)) {
    Leader.StartsHeldSince = NoDeadline;
    return;
  }
  const auto Pools = duePools(Leader);
  if (!Pools.empty())
    countUnknownRuns(Leader);
  const bool WasHeld = Leader.StartsHeldSince != NoDeadline;
  const bool Proceeds =
      WasHeld ? Leader.StartWindow.hasRoom() : Leader.StartWindow.open();
  bool Held = !Pools.empty();
  for (const std::string &Pool : Pools) {
    if (!Proceeds || !Leader.StartWindow.open())
      break;
    Leader.DispatchDue.erase(Pool);
    dispatchPool(Leader, Pool);
    Leader.LastDispatchedPool = Pool;
    Held = !Leader.StartWindow.open();
  }
  if (!Held)
    Leader.StartsHeldSince = NoDeadline;
  else if (!WasHeld)
    Leader.StartsHeldSince = Now;
}

} // namespace galenalink::job
