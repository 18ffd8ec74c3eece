#include "galenalink/job/customers.hpp"
#include "galenalink/job/server_watch.hpp"
#include <algorithm>

namespace galenalink::job {

namespace {

const customer_rule *findRule(const leader &Leader,
                              const std::string_view Customer) {
  return Customer.empty() ? nullptr : Leader.Rules.customer(Customer);
}

double rateOf(const leader &Leader, const std::string_view Customer) {
  const customer_rule *Rule = findRule(Leader, Customer);
  return Rule == nullptr ? 0 : Rule->Weight;
}

/** @return Resources of the job's tasks that may have a run which the leader
 * does not know. */
resources maxUnknownRuns(const job &Job) {
  resources Sum;
  for (const auto &Occurrence : Job.openOccurrences()) {
    for (std::size_t I = 0; I < Occurrence.Steps.size(); ++I) {
      if (Occurrence.Steps[I].done() || !Job.ready(Occurrence, I))
        continue;
      const resources &Size = Job.spec().Steps[I].Size;
      for (const task &Task : Occurrence.Steps[I].Tasks) {
        if (!Task.Done && Task.Runs == 0)
          Sum += Size;
      }
    }
  }
  return Sum;
}

bool runsUnknown(const leader &Leader, const job &Job) {
  return runsUnknown(Leader, Job.pool()) ||
         std::ranges::any_of(Job.formerPools(), [&](const std::string &Pool) {
           return runsUnknown(Leader, Pool);
         });
}

} // namespace

void applyCustomerRules(leader &Leader) {
  std::set<std::string> WithOpenJobs;
  for (const auto &[Id, Entry] : Leader.OpenJobs.all())
    WithOpenJobs.insert(Entry->Job.customer());
  Leader.Quotas.setRules(Leader.Rules, WithOpenJobs);
}

double shareWeight(const leader &Leader, const std::string_view Customer) {
  const double Weight = rateOf(Leader, Customer);
  return Weight > 0 ? Weight : 1;
}

bool claimRate(leader &Leader, const submission &Submission) {
  return Leader.Rates.claim(Submission.Customer,
                            rateOf(Leader, Submission.Customer), Submission.Id,
                            Leader.Now());
}

std::uint32_t rateRetryMs(const leader &Leader, const std::string &Customer) {
  const time_point Now = Leader.Now();
  const duration Left =
      Leader.Rates.nextClaimAt(Customer, rateOf(Leader, Customer), Now) - Now;
  return static_cast<std::uint32_t>(wholeMs(Left)) + 1;
}

void restoreClaims(leader &Leader) {
  std::vector<const job *> Jobs;
  for (const auto &[Id, Entry] : Leader.Jobs) {
    if (!Entry->Job.customer().empty())
      Jobs.push_back(&Entry->Job);
  }
  std::ranges::sort(Jobs, {}, &job::acceptedMs);
  for (const job *Job : Jobs) {
    const std::chrono::milliseconds Age{
        std::max<wall_ms>(Leader.Wall() - Job->acceptedMs(), 0)};
    Leader.Rates.restore(Job->customer(), Job->id(), Leader.Now() - Age);
  }
  Leader.Rates.expire(Leader.Now());
}

void countUnknownRuns(leader &Leader) {
  std::map<std::string, resources> Sizes;
  if (Leader.Now() < Leader.AllRunsKnownAt) {
    for (const auto &[Id, Entry] : Leader.OpenJobs.active()) {
      const job &Job = Entry->Job;
      if (Entry->Recovered && !Job.customer().empty() &&
          runsUnknown(Leader, Job))
        Sizes[Job.customer()] += maxUnknownRuns(Job);
    }
  }
  Leader.Quotas.setUnknown(std::move(Sizes));
}

} // namespace galenalink::job
