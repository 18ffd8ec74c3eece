#include "galenalink/job/callers.hpp"
#include "galenalink/job/access.hpp"
#include "galenalink/job/customers.hpp"
#include "galenalink/job/job_limits.hpp"
#include "galenalink/job/occurrences.hpp"
#include "galenalink/job/pool_load.hpp"
#include "galenalink/telemetry/log.hpp"
#include <algorithm>

namespace galenalink::job {

namespace {

using verdict = caller_reply::verdict;

constexpr telemetry::logger Log{"callers"};

constexpr std::uint32_t BusyRetryMs = 1000;
/** Jobs that have ended are compacted within this time. */
constexpr std::uint32_t MinMemoryRetryMs = 2000;
/** Only a new version of the rules can admit the job. */
constexpr std::uint32_t QuotaRetryMs = 60000;
/** Customers that are counted by name; further ones are counted together. */
constexpr std::size_t MaxCountedCustomers = 1024;
/** Time after which a new leader has contacted its backend servers. */
constexpr duration ServerDiscoveryTime = std::chrono::milliseconds{1000};

caller_reply makeRefusal(std::string Reason, const std::uint32_t RetryAfterMs) {
  caller_reply Reply;
  Reply.Verdict = verdict::Refused;
  Reply.RetryAfterMs = RetryAfterMs;
  Reply.Reason = std::move(Reason);
  return Reply;
}

caller_reply makeOkReply(const job_state State) {
  caller_reply Reply;
  Reply.Verdict = verdict::Ok;
  Reply.State = State;
  return Reply;
}

/** @return Time that the customer's quota takes for its open jobs and the given
 * work, ms; 0 without a limit of CPU. */
double quotaMs(const leader &Leader, const std::string &Customer,
               const double Work) {
  const auto Limit = static_cast<double>(Leader.Quotas.limit(Customer).Cpu);
  // A customer that holds little of its quota does not wait for it.
  const auto InUse = static_cast<double>(Leader.Quotas.inUse(Customer).Cpu);
  if (Customer.empty() || Limit <= 0 || InUse < Limit / 2)
    return 0;
  double Sum = Work;
  for (const auto &[Id, Entry] : Leader.OpenJobs.active()) {
    if (Entry->Job.customer() == Customer)
      Sum += remainingWork(Leader, Entry->Job);
  }
  return Sum / Limit;
}

admission decideAdmission(leader &Leader, const queue_rule &Rule,
                          const pool_load &Load, const submission &Submission,
                          const bool WithinRate) {
  const job_spec &Spec = Submission.Spec;
  admission_request Request;
  Request.Customer = Submission.Customer;
  Request.Weight = shareWeight(Leader, Submission.Customer);
  Request.WithinRate = WithinRate;
  Request.CriticalPathMs = criticalPathMs(Leader, Rule.Name, &Rule, Spec);
  Request.ObjectiveMs = Rule.Stretch * Request.CriticalPathMs + Rule.SlackMs;
  for (const auto &Step : Spec.Steps)
    Request.Work += estimateStepWork(Leader, Rule.Name, Step, Step.Count);
  Request.QuotaMs = quotaMs(Leader, Submission.Customer, Request.Work);
  // Demand includes refused jobs, but counts each job only once. No capacity is
  // provided for jobs beyond a customer's rate.
  if (WithinRate && Leader.RecentJobs.add(Submission.Id, Leader.Now())) {
    Leader.Demand[Rule.Pool].recordArrival(Leader.Now(), Request.Work);
    if (!Submission.Customer.empty())
      Leader.Shares.recordArrival(Rule.Pool, Submission.Customer, Request.Work,
                                  Leader.Now());
    Leader.Forecast.recordArrival(Rule.Pool, Request.Work, Leader.Wall());
  }
  // Zero capacity means nothing before a new leader has contacted its backend
  // servers, so the job is accepted.
  if (Load.Capacity <= 0 &&
      Leader.Now() < Leader.LeadingSince + ServerDiscoveryTime) {
    admission Accepted;
    Accepted.Verdict = admission_verdict::InTime;
    return Accepted;
  }
  return admit(Load, Request);
}

/** @brief Which capacity an accepted job may use. */
struct job_class {
  bool Deferred{false};
  bool BeyondRate{false};
  /** Work of all its tasks, thousandths of a core times ms. */
  double Work{0};
};

void acceptJob(leader &Leader, const queue_rule &Rule, submission Submission,
               const job_class Class, reply_function Reply) {
  const std::string Id = Submission.Id;
  job Job{Id, Rule.Name, Rule.Pool, std::move(Submission.Spec), Leader.Wall()};
  Job.setRule(Rule, Leader.Rules.Version);
  Job.setCustomer(std::move(Submission.Customer));
  job_entry &Entry = addJob(Leader, std::move(Job));
  Entry.Deferred = Class.Deferred;
  Entry.Work = Class.Work;
  Entry.BeyondRate = Class.BeyondRate;
  Entry.OnStored.push_back(std::move(Reply));
  openDueOccurrences(Leader, Entry);
  Leader.WaitingJobs += Entry.Position.Active ? 1 : 0;
  storeJob(Leader, Id);
  Leader.Journal.whenStored([&Leader, Id] {
    job_entry *Found = Leader.findJob(Id);
    if (Found == nullptr)
      return;
    Found->Stored = true;
    requestDispatch(Leader, Found->Job.pool());
    for (const auto &Each : std::exchange(Found->OnStored, {}))
      Each(makeOkReply(Found->StoredState));
  });
}

std::string toInteger(const double Value) {
  return std::to_string(static_cast<std::int64_t>(Value));
}

/** @brief Lists the properties of the job's steps that constrain placement. */
std::string describeTraits(const queue_rule &Rule, const job_spec &Spec) {
  std::string Traits = Rule.Advice ? "advised " : "";
  const auto Add = [&](const std::string_view Name, const auto &Predicate) {
    if (std::ranges::any_of(Spec.Steps, Predicate))
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

/** @brief Adds the figures by which a customer's job was judged. */
void addCustomer(const leader &Leader, const pool_load &Load,
                 const submission &Submission, const admission &Admission,
                 const bool WithinRate,
                 std::vector<telemetry::attribute> &Line) {
  const std::string &Customer = Submission.Customer;
  const customer_claim *Claim = findClaim(Load.Claims, Customer);
  const resources InUse = Leader.Quotas.inUse(Customer);
  const resources Quota = Leader.Quotas.limit(Customer);
  Line.emplace_back("customer", Customer);
  Line.emplace_back("objective_ms", toInteger(Admission.ObjectiveMs));
  Line.emplace_back("rate", std::string{WithinRate ? "within" : "beyond"});
  Line.emplace_back("own_work", toInteger(Claim == nullptr ? 0 : Claim->Work));
  Line.emplace_back("cpu_in_use", std::to_string(InUse.Cpu));
  Line.emplace_back("cpu_quota", std::to_string(Quota.Cpu));
}

void logDecision(const leader &Leader, const queue_rule &Rule,
                 const pool_load &Load, const submission &Submission,
                 const admission &Admission, const bool WithinRate) {
  const job_spec &Spec = Submission.Spec;
  std::vector<telemetry::attribute> Line{
      {"job", Submission.Id},
      {"queue", Rule.Name},
      {"verdict",
       std::string{nameOf(AdmissionVerdictNames, Admission.Verdict)}},
      {"finish_ms", toInteger(Admission.FinishMs)},
      {"retry_ms", Admission.RetryAfterMs},
      {"capacity", toInteger(Load.Capacity)},
      {"in_time_work", toInteger(Load.InTimeWork)},
      {"deferred_work", toInteger(Load.DeferredWork)},
      {"steps", Spec.Steps.size()},
      {"times", Spec.Times},
      {"traits", describeTraits(Rule, Spec)},
      {"rules", Leader.Rules.Version}};
  if (!Submission.Customer.empty())
    addCustomer(Leader, Load, Submission, Admission, WithinRate, Line);
  Log.write(telemetry::severity::Info, "admission", Line);
}

} // namespace

void promoteDeferredJobs(leader &Leader) {
  std::map<std::string, pool_load> Loads;
  const time_point Now = Leader.Now();
  Leader.WaitingJobs = 0;
  for (const auto &[Id, Entry] : Leader.OpenJobs.active()) {
    Leader.WaitingJobs += Entry->Job.state() == job_state::Queued ? 1 : 0;
    if (!Entry->Deferred || Entry->BeyondRate ||
        Entry->Job.openOccurrences().empty() ||
        Leader.Shares.isAbove(Entry->Job.pool(), Entry->Job.customer()))
      continue;
    const auto [Load, Added] = Loads.try_emplace(Entry->Job.pool());
    if (Added)
      Load->second = computePoolLoad(Leader, Entry->Job.pool());
    const occurrence &Occurrence = Entry->Job.openOccurrences().front();
    const std::chrono::duration<double, std::milli> UntilObjective =
        Occurrence.Objective - Now;
    admission_request Request;
    Request.CriticalPathMs =
        remainingCriticalPathMs(Leader, Entry->Job, Occurrence);
    Request.Work = remainingWork(Leader, Entry->Job);
    Request.ObjectiveMs = std::max(UntilObjective.count(), 0.0);
    Request.Customer = Entry->Job.customer();
    Request.Weight = shareWeight(Leader, Request.Customer);
    if (admit(Load->second, Request).Verdict != admission_verdict::InTime)
      continue;
    Log.info("promoted", {{"job", Id}, {"queue", Entry->Job.queue()}});
    Entry->Deferred = false;
    addInTimeWork(Leader, Request.Customer, Request.Work, Load->second);
    Load->second.DeferredWork -= Request.Work;
    requestDispatch(Leader, Entry->Job.pool());
  }
}

namespace {

leader_backlog backlogOf(const leader &Leader) {
  leader_backlog Backlog;
  Backlog.StartsHeldSince = Leader.StartsHeldSince;
  Backlog.OldestReplyAt =
      Leader.Journal.currentLoad().OldestAt.value_or(NoDeadline);
  Backlog.LoopDelay = Leader.LoopDelay;
  Backlog.CallbackDelay = Leader.CallbackDelay;
  Backlog.WaitingJobs = Leader.WaitingJobs;
  return Backlog;
}

} // namespace

std::optional<caller_reply> refuseIfOverloaded(leader &Leader) {
  const leader_backlog Backlog = backlogOf(Leader);
  const time_point Now = Leader.Now();
  if (Leader.OverloadGate.accepts(Backlog, Now))
    return std::nullopt;
  ++Leader.Counts->RefusedOverloaded;
  return makeRefusal("the leader is overloaded",
                     Leader.OverloadGate.retryAfterMs(Backlog, Now));
}

namespace {

caller_reply replyOf(const verdict Verdict) {
  caller_reply Reply;
  Reply.Verdict = Verdict;
  return Reply;
}

bool mayAccessJob(const leader &Leader, const job_entry &Entry,
                  const std::string &Queue, const std::string &Customer) {
  return mayAccess(Leader.Rules, {Entry.Job.customer(), Entry.Job.queue()},
                   Queue, Customer);
}

/** @brief Replies to a submission of a job that was accepted before. */
void replyToRepeat(const leader &Leader, job_entry &Entry,
                   const submission &Submission, reply_function Reply) {
  if (!mayAccessJob(Leader, Entry, Submission.Queue, Submission.Customer))
    Reply(replyOf(verdict::Forbidden));
  else if (Entry.Stored)
    Reply(makeOkReply(Entry.StoredState));
  else
    Entry.OnStored.push_back(std::move(Reply));
}

/** @brief Whether the job has a gang that can't run within its customer's
 * quota, even alone. */
bool exceedsQuota(const leader &Leader, const submission &Job) {
  return std::ranges::any_of(Job.Spec.Steps, [&](const step_spec &Step) {
    return Step.Gang &&
           !Leader.Quotas.canEverRun(Job.Customer, Step.Size, Step.Count);
  });
}

/** @return When a job fits again, ms. That is known only for ended jobs. */
std::uint32_t memoryRetryMs(const leader &Leader,
                            const job_memory_limit Limit) {
  if (Limit != job_memory_limit::Ended || Leader.EndedJobs.empty())
    return MinMemoryRetryMs;
  const job_entry *Oldest = Leader.findJob(Leader.EndedJobs.front());
  if (Oldest == nullptr)
    return MinMemoryRetryMs;
  const duration Left =
      Oldest->EndedAt + Leader.Settings.EndedJobRetention - Leader.Now();
  return std::max(MinMemoryRetryMs, static_cast<std::uint32_t>(
                                        wholeMs(std::max(Left, duration{0}))));
}

caller_reply refuseForMemory(leader &Leader, const job_memory_limit Limit) {
  ++Leader.Counts->RefusedForMemory;
  const std::uint32_t RetryMs = memoryRetryMs(Leader, Limit);
  if (const auto Dropped = Leader.JobMemoryLogRate.admit(Leader.Now()))
    Log.warning("too many jobs, refusing new ones",
                {{"limit", std::string{nameOf(JobMemoryLimitNames, Limit)}},
                 {"open_bytes", Leader.JobMemory.open()},
                 {"background_bytes", Leader.JobMemory.background()},
                 {"ended_bytes", Leader.JobMemory.ended()},
                 {"long_running_jobs", Leader.JobMemory.longRunningJobs()},
                 {"retry_ms", RetryMs},
                 {"lines_dropped", *Dropped}});
  return makeRefusal("too many jobs", RetryMs);
}

/** @return Why a job can't be accepted whatever its pool has free; `nullopt` if
 * that depends on the pool. */
std::optional<caller_reply> refuseWithoutAdmission(leader &Leader,
                                                   const queue_rule *Rule,
                                                   const submission &Job) {
  const bool RulesMissing =
      Leader.Rules.Version == 0 || Leader.Rules.Version < Job.KnownSince;
  if (Rule == nullptr && RulesMissing) {
    Log.warning("admission", {{"job", Job.Id},
                              {"queue", Job.Queue},
                              {"verdict", "refused"},
                              {"why", "the rules have not been read"},
                              {"rules", Leader.Rules.Version},
                              {"known_since", Job.KnownSince}});
    return makeRefusal("the rules have not been read", BusyRetryMs);
  }
  if (Rule == nullptr)
    return replyOf(verdict::NoQueue);
  if (taskCount(Job.Spec) > limits::MaxTasks)
    return makeRefusal("too many tasks", BusyRetryMs);
  if (const auto Limit = Leader.JobMemory.exceededBy(Job.Spec))
    return refuseForMemory(Leader, *Limit);
  if (exceedsQuota(Leader, Job))
    return makeRefusal("a gang exceeds the customer's quota", QuotaRetryMs);
  if (auto Refusal = refuseIfOverloaded(Leader))
    return Refusal;
  if (!Leader.Journal.healthy()) {
    Log.warning("admission", {{"job", Job.Id},
                              {"queue", Job.Queue},
                              {"verdict", "refused"},
                              {"why", "the store does not answer"}});
    return makeRefusal("the store does not answer", BusyRetryMs);
  }
  return std::nullopt;
}

} // namespace

namespace {

void countDecision(leader &Leader, const std::string &Customer,
                   const admission_verdict Verdict, const bool WithinRate) {
  if (Customer.empty())
    return;
  auto &Customers = Leader.Counts->Customers;
  const bool HasEntry =
      Customers.contains(Customer) || Customers.size() < MaxCountedCustomers;
  customer_counts &Counts = Customers[HasEntry ? Customer : "other"];
  if (Verdict != admission_verdict::Refused)
    ++Counts.Admitted;
  else if (WithinRate)
    ++Counts.RefusedFull;
  else
    ++Counts.RefusedRate;
}

} // namespace

void submitJob(leader &Leader, submission Submission, reply_function Reply) {
  if (job_entry *Existing = Leader.findJob(Submission.Id)) {
    replyToRepeat(Leader, *Existing, Submission, std::move(Reply));
    return;
  }
  const queue_rule *Rule = Leader.Rules.queue(Submission.Queue);
  if (const auto Refusal = refuseWithoutAdmission(Leader, Rule, Submission)) {
    Reply(*Refusal);
    return;
  }
  const bool WithinRate = claimRate(Leader, Submission);
  const pool_load Load =
      computePoolLoad(Leader, Rule->Pool, Submission.Customer);
  admission Admission;
  Admission.Verdict = admission_verdict::InTime;
  if (!Submission.Spec.isLongRunning() && Submission.Spec.Times == 0)
    Admission = decideAdmission(Leader, *Rule, Load, Submission, WithinRate);
  if (!WithinRate)
    Admission.RetryAfterMs = std::max(Admission.RetryAfterMs,
                                      rateRetryMs(Leader, Submission.Customer));
  logDecision(Leader, *Rule, Load, Submission, Admission, WithinRate);
  countDecision(Leader, Submission.Customer, Admission.Verdict, WithinRate);
  if (Admission.Verdict == admission_verdict::Refused) {
    ++Leader.Counts->Refused;
    Reply(makeRefusal(WithinRate ? "the pool is full"
                                 : "the customer's rate is exceeded",
                      Admission.RetryAfterMs));
    return;
  }
  const bool Deferred = Admission.Verdict == admission_verdict::Deferred;
  ++(Deferred ? Leader.Counts->AdmittedDeferred
              : Leader.Counts->AdmittedInTime);
  acceptJob(Leader, *Rule, std::move(Submission),
            {Deferred, !WithinRate, Admission.Work}, std::move(Reply));
}

namespace {

/** @return That the job does not exist, or that another node may lead: a
 * replaced leader does not know the jobs that its successor has accepted. */
caller_reply replyForUnknownJob(const leader &Leader) {
  caller_reply Reply;
  Reply.Verdict =
      isLeadershipConfirmed(Leader) ? verdict::NoJob : verdict::NotLeading;
  return Reply;
}

} // namespace

caller_reply queryJob(const leader &Leader, const job_request &Request) {
  const job_entry *Entry = Leader.findJob(Request.Id);
  if (Entry == nullptr)
    return replyForUnknownJob(Leader);
  if (!mayAccessJob(Leader, *Entry, Request.Queue, Request.Customer))
    return replyOf(verdict::Forbidden);
  const bool Started = Entry->StoredState == job_state::Queued &&
                       Entry->Job.state() != job_state::Queued;
  return makeOkReply(Started ? job_state::Running : Entry->StoredState);
}

void cancelJob(leader &Leader, const job_request &Request,
               reply_function Reply) {
  job_entry *Entry = Leader.findJob(Request.Id);
  if (Entry == nullptr) {
    Reply(replyForUnknownJob(Leader));
    return;
  }
  if (!mayAccessJob(Leader, *Entry, Request.Queue, Request.Customer)) {
    Reply(replyOf(verdict::Forbidden));
    return;
  }
  if (Entry->Job.cancel()) {
    Log.info("cancel", {{"job", Request.Id}, {"queue", Entry->Job.queue()}});
    recordProgress(Leader, *Entry);
    endJob(Leader, *Entry);
  }
  Leader.Journal.whenStored(
      [Reply = std::move(Reply)] { Reply(makeOkReply(job_state::Cancelled)); });
}

caller_reply countPendingJobs(const leader &Leader, const std::string &Queue) {
  caller_reply Reply = makeOkReply(job_state::Queued);
  Reply.Pending = Leader.OpenJobs.queued(Queue);
  return Reply;
}

} // namespace galenalink::job
