#include "galenalink/job/pool_load.hpp"
#include "galenalink/job/customers.hpp"
#include "galenalink/telemetry/log.hpp"
#include <algorithm>

namespace galenalink::job {

namespace {

constexpr telemetry::logger Log{"shares"};

/** A pool whose backlog takes longer than this to be done is full, ms. */
constexpr double ShareHorizonMs = 600;

std::string toInteger(const double Value) {
  return std::to_string(static_cast<std::int64_t>(Value));
}

} // namespace

double estimateStepWork(const leader &Leader, const std::string &Queue,
                        const step_spec &Step, const std::size_t Tasks) {
  return Step.LongRunning || Step.BestEffort
             ? 0
             : static_cast<double>(Tasks) * static_cast<double>(Step.Size.Cpu) *
                   Leader.Durations.predictMs(Queue, Step.EstimateMs);
}

double remainingWork(const leader &Leader, const job &Job) {
  double Work = 0;
  for (const auto &Occurrence : Job.openOccurrences()) {
    for (std::size_t I = 0; I < Occurrence.Steps.size(); ++I) {
      const step &Step = Occurrence.Steps[I];
      Work += estimateStepWork(Leader, Job.queue(), Job.spec().Steps[I],
                               Step.Tasks.size() - Step.Done);
    }
  }
  return Work;
}

namespace {

customer_claim &claimOf(const leader &Leader, const std::string &Customer,
                        pool_load &Load) {
  const auto Found =
      std::ranges::find(Load.Claims, Customer, &customer_claim::Customer);
  if (Found != Load.Claims.end())
    return *Found;
  return Load.Claims.emplace_back(
      customer_claim{Customer, shareWeight(Leader, Customer), 0, 0});
}

} // namespace

void addInTimeWork(const leader &Leader, const std::string &Customer,
                   const double Work, pool_load &Load) {
  Load.InTimeWork += Work;
  if (Leader.Rules.Customers && Leader.Settings.FairShares)
    claimOf(Leader, Customer, Load).Work += Work;
}

namespace {

void addDeferredWork(const leader &Leader, const job_entry &Entry,
                     const double Work, pool_load &Load) {
  Load.DeferredWork += Work;
  if (Leader.shedsLoad())
    Load.Deferred.push_back({Entry.Work, Work});
}

void addDemand(const leader &Leader, const std::string_view Pool,
               pool_load &Load) {
  const auto *Demand = Leader.Shares.demand(Pool);
  if (Demand == nullptr)
    return;
  for (const auto &[Customer, Meter] : *Demand)
    claimOf(Leader, Customer, Load).Demand = Meter.rate(Leader.Now());
}

/** @return CPU of the pool's backend servers that accept work, without that of
 * long-running tasks, thousandths of a core. */
double availableCapacity(const leader &Leader, const std::string_view Pool) {
  double Capacity = 0;
  for (const server *Server : Leader.ServersByPool.of(Pool)) {
    const bool AcceptsWork = Server->Registered && Server->Synced &&
                             !Server->Entry.Draining && !Server->Cordoned;
    if (!AcceptsWork)
      continue;
    Capacity += static_cast<double>(Server->Entry.Capacity.Cpu);
    Capacity -= static_cast<double>(Server->Totals.LongRunningCpu);
  }
  return Capacity;
}

} // namespace

pool_load computePoolLoad(const leader &Leader, const std::string_view Pool,
                          const std::string_view Customer) {
  pool_load Load;
  Load.Capacity = availableCapacity(Leader, Pool);
  const time_point Now = Leader.Now();
  for (const auto &[Id, Entry] : Leader.OpenJobs.active()) {
    if (Entry->Job.pool() != Pool || Entry->Job.openOccurrences().empty())
      continue;
    // Its tasks go after those of the others.
    if (Customer != Entry->Job.customer() &&
        Leader.Shares.isAbove(Entry->Job.pool(), Entry->Job.customer()))
      continue;
    const bool InTime = !Entry->Deferred &&
                        Now < Entry->Job.openOccurrences().front().Objective;
    const double Work = remainingWork(Leader, Entry->Job);
    if (InTime)
      addInTimeWork(Leader, Entry->Job.customer(), Work, Load);
    else
      addDeferredWork(Leader, *Entry, Work, Load);
  }
  if (Leader.Settings.FairShares)
    addDemand(Leader, Pool, Load);
  return Load;
}

namespace {

/** @brief Backlog of each customer in a pool, including deferred work. */
std::vector<customer_claim> backlogClaims(const leader &Leader,
                                          const std::string_view Pool) {
  pool_load Load;
  for (const auto &[Id, Entry] : Leader.OpenJobs.active()) {
    if (Entry->Job.pool() == Pool && !Entry->Job.customer().empty() &&
        !Entry->Job.openOccurrences().empty())
      claimOf(Leader, Entry->Job.customer(), Load).Work +=
          remainingWork(Leader, Entry->Job);
  }
  addDemand(Leader, Pool, Load);
  return std::move(Load.Claims);
}

} // namespace

void updateShares(leader &Leader) {
  Leader.Shares.clearAbove();
  if (!Leader.Rules.Customers || !Leader.Settings.FairShares)
    return;
  for (const auto &Rule : Leader.Rules.Pools) {
    const double Capacity =
        availableCapacity(Leader, Rule.Name) * PackingEfficiency;
    if (Rule.Standby || Capacity <= 0)
      continue;
    const auto Claims = backlogClaims(Leader, Rule.Name);
    for (const auto &Each : Claims) {
      if (!exceedsShare(Claims, Each, Capacity, ShareHorizonMs))
        continue;
      Leader.Shares.markAbove(Rule.Name, Each.Customer);
      Log.info("customer above its share", {{"pool", Rule.Name},
                                            {"customer", Each.Customer},
                                            {"backlog", toInteger(Each.Work)},
                                            {"capacity", toInteger(Capacity)}});
    }
  }
}

} // namespace galenalink::job
