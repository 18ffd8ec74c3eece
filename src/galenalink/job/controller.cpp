#include "galenalink/job/controller.hpp"
#include "galenalink/job/callers.hpp"
#include "galenalink/job/dispatch.hpp"
#include "galenalink/job/maintenance.hpp"
#include "galenalink/job/pacing.hpp"
#include "galenalink/job/pool_sizes.hpp"
#include "galenalink/job/recovery.hpp"
#include "galenalink/job/server_watch.hpp"
#include "galenalink/job/vm_orders.hpp"

namespace galenalink::job {

namespace {

/** Interval of duties that need no quick reaction. */
constexpr duration SlowDutyInterval = std::chrono::milliseconds{200};
/** Interval at which ended jobs are compacted; their records ride along with
 * others. */
constexpr duration CompactInterval = std::chrono::milliseconds{1500};

} // namespace

controller::controller(std::unique_ptr<leader> State,
                       const newest_result &Recovered, fleet_rules Rules)
    : Leader{std::move(State)} {
  Leader->Rules = std::move(Rules);
  recover(*Leader, Recovered);
}

void controller::setRules(const fleet_rules &Rules) {
  Leader->Rules = Rules;
  Leader->Dirty = true;
  // A queue may have got another pool; runs that exist go on where they are.
  for (auto &[Id, Entry] : Leader->Open) {
    if (const queue_rule *Rule = Rules.queue(Entry->Job.queue()))
      Entry->Job.assignPool(Rule->Pool);
  }
}

void controller::setRegistrations(
    const std::vector<registration> &Registrations) {
  updateRegistrations(*Leader, Registrations);
}

void controller::setWaves(const std::map<std::uint64_t, wave> &Waves) {
  updateWaves(*Leader, Waves);
}

void controller::setVms(const std::vector<vm> &Vms, const time_point AskedAt) {
  updateVms(*Leader, Vms);
  updateVmOrders(*Leader, Vms, AskedAt);
}

bool controller::vmsInMotion() const noexcept {
  return !Leader->Motions.empty();
}

void controller::submit(const std::string &Queue, const std::string &Id,
                        job_spec Spec, reply_function Reply) {
  submitJob(*Leader, Queue, Id, std::move(Spec), std::move(Reply));
}

caller_reply controller::query(const std::string &Id) const {
  return queryJob(*Leader, Id);
}

void controller::cancel(const std::string &Id, reply_function Reply) {
  cancelJob(*Leader, Id, std::move(Reply));
}

caller_reply controller::pending(const std::string &Queue) const {
  return countPendingJobs(*Leader, Queue);
}

void controller::openOccurrences() {
  for (auto &[Id, Entry] : Leader->Open) {
    if (Entry->Job.spec().Times > 0)
      openDue(*Leader, *Entry);
  }
}

void controller::tick() {
  openOccurrences();
  watchServers(*Leader);
  const time_point Now = Leader->Now();
  if (Now >= NextSlowDuty) {
    NextSlowDuty = Now + SlowDutyInterval;
    // Back-offs and objectives pass without an event.
    Leader->Dirty = true;
    handleStragglers(*Leader);
    promoteDeferredJobs(*Leader);
    advanceMaintenance(*Leader);
    updatePaces(*Leader);
    resizePools(*Leader);
    forgetEnded(*Leader);
  }
  if (Now >= NextCompaction) {
    NextCompaction = Now + CompactInterval;
    compactEnded(*Leader);
  }
  settle();
}

void controller::settle() {
  if (Leader->Dirty)
    dispatch(*Leader);
  Leader->Journal.flush();
}

} // namespace galenalink::job
