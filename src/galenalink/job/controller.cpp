#include "galenalink/job/controller.hpp"
#include "galenalink/job/callers.hpp"
#include "galenalink/job/dispatch.hpp"
#include "galenalink/job/maintenance.hpp"
#include "galenalink/job/occurrences.hpp"
#include "galenalink/job/pacing.hpp"
#include "galenalink/job/pool_load.hpp"
#include "galenalink/job/pool_sizes.hpp"
#include "galenalink/job/recovery.hpp"
#include "galenalink/job/server_watch.hpp"
#include "galenalink/job/stragglers.hpp"
#include "galenalink/job/vm_orders.hpp"

namespace galenalink::job {

namespace {

/** Interval of the work in the control loop that tolerates some delay. */
constexpr duration PeriodicInterval = std::chrono::milliseconds{200};
/** Interval at which ended jobs are compacted. Their records are batched with
 * others into one append. */
constexpr duration CompactionInterval = std::chrono::milliseconds{1500};

} // namespace

controller::controller(std::unique_ptr<leader> State,
                       const latest_result &Recovered, fleet_rules Rules)
    : Leader{std::move(State)} {
  Leader->Rules = std::move(Rules);
  recover(*Leader, Recovered);
  applyRules(*Leader);
}

void controller::setRules(const fleet_rules &Rules) {
  Leader->Rules = Rules;
  requestDispatchOfAllPools(*Leader);
  applyRules(*Leader);
}

void controller::setRegistrations(
    const std::vector<registration> &Registrations) {
  updateRegistrations(*Leader, Registrations);
}

void controller::setWaves(const std::map<std::uint64_t, wave> &Waves) {
  updateWaves(*Leader, Waves);
}

void controller::setVms(const vms_result &List, const time_point RequestedAt) {
  updateVms(*Leader, List);
  updateVmOrders(*Leader, List.Vms, RequestedAt);
}

bool controller::hasPendingVmOrders() const noexcept {
  return !Leader->PendingVmOrders.empty();
}

void controller::submit(submission Submission, reply_function Reply) {
  submitJob(*Leader, std::move(Submission), std::move(Reply));
}

std::optional<caller_reply> controller::refuseUnparsed(const std::string &Id) {
  return Leader->findJob(Id) == nullptr ? refuseIfOverloaded(*Leader)
                                        : std::nullopt;
}

caller_reply controller::query(const job_request &Request) const {
  return queryJob(*Leader, Request);
}

void controller::cancel(const job_request &Request, reply_function Reply) {
  cancelJob(*Leader, Request, std::move(Reply));
}

caller_reply controller::pending(const std::string &Queue) const {
  return countPendingJobs(*Leader, Queue);
}

void controller::openScheduledOccurrences() {
  for (job_entry *Entry : Leader->OpenJobs.due(Leader->Wall()))
    openDueOccurrences(*Leader, *Entry);
}

void controller::tick(const duration LoopDelay, const duration CallbackDelay) {
  Leader->LoopDelay = LoopDelay;
  Leader->CallbackDelay = CallbackDelay;
  openScheduledOccurrences();
  watchServers(*Leader);
  const time_point Now = Leader->Now();
  if (Now >= NextPeriodicWork) {
    NextPeriodicWork = Now + PeriodicInterval;
    // Deadlines and ejections of backend servers end without an event that
    // triggers dispatch.
    requestDispatchOfAllPools(*Leader);
    handleStragglers(*Leader);
    updateShares(*Leader);
    promoteDeferredJobs(*Leader);
    advanceMaintenance(*Leader);
    updatePaces(*Leader);
    resizePools(*Leader);
    removeExpiredJobs(*Leader);
    Leader->StartRevocations.expire(Now);
  }
  if (Now >= NextCompaction) {
    NextCompaction = Now + CompactionInterval;
    compactEndedJobs(*Leader);
  }
  dispatchAndFlush();
}

void controller::dispatchAndFlush() {
  dispatch(*Leader);
  Leader->Journal.flush();
}

} // namespace galenalink::job
