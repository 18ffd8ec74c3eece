#ifndef GALENALINK_JOB_LEADER_HPP
#define GALENALINK_JOB_LEADER_HPP

#include "galenalink/job/counters.hpp"
#include "galenalink/job/customer_quotas.hpp"
#include "galenalink/job/customer_rates.hpp"
#include "galenalink/job/customer_shares.hpp"
#include "galenalink/job/demand.hpp"
#include "galenalink/job/duration_estimator.hpp"
#include "galenalink/job/job_memory.hpp"
#include "galenalink/job/journal.hpp"
#include "galenalink/job/leadership_limits.hpp"
#include "galenalink/job/load_shedding.hpp"
#include "galenalink/job/open_jobs.hpp"
#include "galenalink/job/overload_gate.hpp"
#include "galenalink/job/peak_forecast.hpp"
#include "galenalink/job/server.hpp"
#include "galenalink/job/server_index.hpp"
#include "galenalink/job/start_revocations.hpp"
#include "galenalink/job/start_window.hpp"
#include "galenalink/job/tickets.hpp"
#include "galenalink/telemetry/rate_limit.hpp"
#include <deque>
#include <memory>
#include <set>
#include <unordered_map>

namespace galenalink::job {

/** @brief Called when an outside system has rejected a request of the leader,
 * since it has seen a higher epoch. */
using fenced_function = std::function<void(std::string_view RejectedBy)>;

/** @brief Time limits of the platform and of the leader. */
struct leader_settings {
  /** Name of the node, which identifies the holder of VM orders. */
  std::string Node;
  /** Length of the leases of backend servers, which bound their runs. */
  duration Lease{std::chrono::milliseconds{4500}};
  /** Longest time that a backend server takes to end runs, at a stop or when
   * their lease has expired. */
  duration StopTime{std::chrono::milliseconds{400}};
  /** Time within which a missing registration may reappear. */
  duration RegistrationGrace{std::chrono::milliseconds{3000}};
  /** Ended jobs can be queried for at least this long. */
  duration EndedJobRetention{std::chrono::seconds{150}};
  /** Time that a VM takes to move to another pool. */
  duration MoveTime{std::chrono::milliseconds{1500}};
  /** Time that the maintenance of a VM takes. */
  duration MaintenanceTime{std::chrono::milliseconds{2000}};
  /** Minimum time between orders for one VM by two different leaders. */
  duration MinVmOrderGap{std::chrono::milliseconds{3000}};
  /** Customers share a full pool by their weights. */
  bool FairShares{true};
  load_shedding LoadShedding{load_shedding::Customers};
  /** Span over which the rates of customers are counted. */
  duration RateWindow{std::chrono::seconds{5}};
  start_limits Starts;
  job_memory_limits JobMemory;
  /** Heartbeats sent in one pass of the control loop, every 20 ms. */
  std::size_t MaxHeartbeatsPerPass{256};
};

/** @brief A VM order that is not yet known to be complete. */
struct pending_vm_order {
  /** Pool to move to; empty for maintenance. */
  std::string Pool;
  std::uint64_t Wave{0};
  /** Id of the backend server that the order takes down. */
  std::string Server;
  time_point OrderedAt;
  /** The order awaits its response. */
  bool Sent{false};
  bool Accepted{false};
  time_point AcceptedAt;
};

/** @brief Progress of a maintenance wave. */
struct wave_progress {
  wave Wave;
  /** End of the wave's window, ms since the Unix epoch; 0 until the wave itself
   * has been read. */
  wall_ms DeadlineMs{0};
  /** VMs whose maintenance is complete. */
  std::set<std::string> Done;
  /** VMs that receive no new work until their maintenance, with the start of
   * draining. */
  std::map<std::string, time_point> Draining;
  bool RunningPublished{false};
  bool CompletedPublished{false};
  bool Publishing{false};
};

/**
 * @brief State of the leading node for one epoch. Owned by the controller; the
 * other modules of this folder are free functions that operate on it.
 */
struct leader {
  leader(const ports &Ports, leader_settings Settings, std::uint64_t Epoch,
         std::function<time_point()> Now, std::function<wall_ms()> Wall,
         fenced_function OnFenced);

  const ports &Ports;
  leader_settings Settings;
  std::uint64_t Epoch;
  std::function<time_point()> Now;
  std::function<wall_ms()> Wall;
  fenced_function OnFenced;
  journal Journal;

  fleet_rules Rules;
  /** Newest version of the rules that this or an earlier leader has applied to
   * the jobs. Older rules are not applied. */
  std::uint64_t AppliedRulesVersion{0};
  /** By job id. */
  std::map<std::string, std::unique_ptr<job_entry>> Jobs;
  open_jobs OpenJobs;
  job_memory JobMemory;
  /** Ids of ended jobs in the order of their ends. */
  std::deque<std::string> EndedJobs;
  /** Ids of ended jobs that are not compacted yet. */
  std::vector<std::string> UncompactedJobs;
  run_locations RunLocations;
  start_revocations StartRevocations;
  /** By id of the backend server's incarnation. Change it by `addServer` and
   * `removeServer` only. */
  std::map<std::string, std::unique_ptr<server>> Servers;
  server_index ServersByPool;
  /** From then on no backend server has `RunsUnknownUntil` in the future. */
  time_point AllRunsKnownAt{NoDeadline};
  /** Task durations by queue. */
  duration_estimator Durations;
  customer_quotas Quotas;
  customer_rates Rates;
  ticket_cache Tickets;
  /** A ticket request awaits its response. */
  bool TicketRequestPending{false};
  /** Earliest time of the next ticket request. */
  time_point NextTicketRequest;
  /** Shared with the node, so that counters never decrease when a new epoch
   * starts. */
  std::shared_ptr<counters> Counts{std::make_shared<counters>()};
  /** VMs by name, from the latest list; empty before the first one. */
  std::map<std::string, vm> Vms;
  /** When the latest list was requested; `NoDeadline` before the first one. */
  time_point VmsRequestedAt{NoDeadline};
  /** By VM. */
  std::map<std::string, pending_vm_order> PendingVmOrders;
  /** VMs for which an earlier leader may have sent an order shortly before this
   * epoch. */
  std::set<std::string> RecentlyOrdered;
  std::map<std::uint64_t, wave_progress> Waves;
  /** Arrival rate of work by pool. */
  std::map<std::string, demand_meter> Demand;
  customer_shares Shares;
  recent_jobs RecentJobs;
  peak_forecast Forecast;
  /** Number of VMs of each pool before any was moved. */
  std::map<std::string, std::size_t> InitialSizes;
  /** Start of the current capacity surplus of each pool that has one. */
  std::map<std::string, time_point> SurplusSince;
  time_point LeadingSince;
  /** When the latest record of an earlier leader was read; that leader's latest
   * confirmation is no later. */
  time_point PredecessorSeenAt;
  /** Returns when the latest successful append to the leader log was sent; if
   * not set, leadership is always confirmed. */
  std::function<time_point()> LeadershipConfirmedAt;
  /** Requests an append to the leader log soon; may be unset. */
  std::function<void()> ConfirmLeadership;
  /** Pools in which a task may be able to start, and from when on. */
  std::map<std::string, time_point> DispatchDue;
  /** Pool that was served last; the others come first the next time. */
  std::string LastDispatchedPool;
  start_window StartWindow;
  /** Since when tasks that fit wait for the window; `NoDeadline` if none does.
   */
  time_point StartsHeldSince{NoDeadline};
  overload_gate OverloadGate;
  telemetry::rate_limit JobMemoryLogRate{std::chrono::seconds{1}};
  telemetry::rate_limit DiscardedEndLogRate{std::chrono::seconds{1}};
  /** By how much the last pass of the control loop was late. */
  duration LoopDelay{0};
  /** For how long responses to calls wait in the event loop. */
  duration CallbackDelay{0};
  /** Active jobs of which no task has started; counted anew every 200 ms. */
  std::size_t WaitingJobs{0};
  /** Callbacks hold it weakly to detect that the leader no longer exists. */
  std::shared_ptr<bool> LifetimeToken{std::make_shared<bool>(true)};

  [[nodiscard]] bool shedsLoad() const noexcept {
    return Settings.LoadShedding == load_shedding::Always ||
           (Settings.LoadShedding == load_shedding::Customers &&
            Rules.Customers.has_value());
  }
  [[nodiscard]] job_entry *findJob(const std::string &Id) const {
    const auto Found = Jobs.find(Id);
    return Found == Jobs.end() ? nullptr : Found->second.get();
  }
  /** @return Null if the incarnation is unknown or was removed. */
  [[nodiscard]] server *findServer(const std::string &Id) const {
    const auto Found = Servers.find(Id);
    return Found == Servers.end() ? nullptr : Found->second.get();
  }
  /** @return The backend server that a request was sent to; null if it is
   * unknown or has started again since. */
  [[nodiscard]] server *findTarget(const server_target &Target) const {
    server *Found = findServer(Target.Id);
    return Found != nullptr && mayBeSameIncarnation(Found->Entry.StartedAtMs,
                                                    Target.StartedAtMs)
               ? Found
               : nullptr;
  }
  /** Called after each guarded callback, which may have created work. */
  std::function<void()> AfterEvent;

  /** @brief Wraps a callback so that it has no effect once the leader has been
   * destroyed. */
  template <typename Function> [[nodiscard]] auto guarded(Function Call) {
    return [this, Weak = std::weak_ptr{LifetimeToken},
            Call = std::move(Call)](const auto &Result) {
      if (!Weak.lock())
        return;
      Call(Result);
      if (Weak.lock() && AfterEvent)
        AfterEvent();
    };
  }
};

/** @return Until when no successor can accept jobs or send VM orders. */
[[nodiscard]] inline time_point leadershipConfirmedUntil(const leader &Leader) {
  return Leader.LeadershipConfirmedAt
             ? Leader.LeadershipConfirmedAt() + ConfirmationValidity
             : time_point::max();
}
[[nodiscard]] inline bool isLeadershipConfirmed(const leader &Leader) {
  return Leader.Now() < leadershipConfirmedUntil(Leader);
}
/** @return Until when the leader may renew leases and start tasks. Its
 * successor starts the tasks of backend servers that it can't reach once leases
 * granted at that time have expired. */
[[nodiscard]] inline time_point leaseGrantsEndAt(const leader &Leader) {
  return Leader.LeadershipConfirmedAt
             ? Leader.LeadershipConfirmedAt() + LeaseGrantValidity
             : time_point::max();
}
[[nodiscard]] inline bool mayGrantLeases(const leader &Leader) {
  return Leader.Now() < leaseGrantsEndAt(Leader);
}
/** @brief Extends the lease of a backend server for an order that is about to
 * be sent. The process may have been paused since `mayGrantLeases`, so the
 * lease runs from the end of that time at the latest.
 * @return End of the lease on the backend server's clock, ms. */
[[nodiscard]] inline std::int64_t grantLease(const leader &Leader,
                                             server &Server) {
  const time_point GrantedAt = std::min(Leader.Now(), leaseGrantsEndAt(Leader));
  return Server.Lease.extend(GrantedAt, Leader.Settings.Lease);
}
/** @brief Whether there was no successor at the given time, so that nobody else
 * renewed a lease before: an append sent since then has succeeded, and none can
 * once a successor has claimed leadership. */
[[nodiscard]] inline bool wasSoleLeaderAt(const leader &Leader,
                                          const time_point At) {
  return !Leader.LeadershipConfirmedAt || Leader.LeadershipConfirmedAt() >= At;
}
/** @brief Requests that tasks of the pool are started if they can be placed,
 * after a change that may allow it. */
void requestDispatch(leader &Leader, const std::string &Pool,
                     time_point Due = NoDeadline);
void requestDispatchOfAllPools(leader &Leader);
/** @brief Reports that a backend server has rejected the leader's epoch. */
void reportFenced(const leader &Leader, std::string_view ServerId);
/** @brief Adds a backend server, in place of an earlier one with its id, which
 * must have no runs. */
server &addServer(leader &Leader, const registration &Entry);
void removeServer(leader &Leader, const std::string &Id);
/** @brief Replaces the registration, which may name another pool. */
void setRegistration(leader &Leader, server &Server, const registration &Entry);
/** @brief Adds a job to the leader's job maps. */
job_entry &addJob(leader &Leader, job Job);
/** @brief Stores the job's progress; callers see the new state once it is
 * stored. */
void recordProgress(leader &Leader, job_entry &Entry);
/** @brief Makes the indexes and the counted memory current after a change of a
 * job's occurrences or its state. */
void updateIndexes(leader &Leader, job_entry &Entry);
/** @brief Adds an ended job to those that are compacted and later removed. */
void addEndedJob(leader &Leader, job_entry &Entry);
/** @brief Removes an ended job from the open jobs and stops its runs. The
 * progress is stored by the caller. */
void endJob(leader &Leader, job_entry &Entry);
/** @brief Critical path of a job by the predicted durations of its steps,
 * including the wait for tickets, ms. */
[[nodiscard]] double criticalPathMs(const leader &Leader,
                                    const std::string &Queue,
                                    const job_rule *Rule, const job_spec &Spec);
/** @brief Writes the job's record to the store. */
void storeJob(leader &Leader, const std::string &Id);
/** @brief Applies the current rules to the open jobs of their queues, which may
 * move them to another pool; existing runs stay where they are. Fails the jobs
 * that have reached a limit which was not known before. */
void applyRules(leader &Leader);
/** @return Number of open jobs of whose queue no rule is known. */
[[nodiscard]] std::size_t countOpenJobsWithoutRule(const leader &Leader);
/** @brief Serializes the part of the progress that a new leader needs. */
[[nodiscard]] std::string toRecord(const wave_progress &Wave);
/** @return Progress without the wave itself; `nullopt` if the record is
 * invalid. */
[[nodiscard]] std::optional<wave_progress> parseWave(std::string_view Record);
/** @brief Critical path of the remaining work of an occurrence, ms. */
[[nodiscard]] double remainingCriticalPathMs(const leader &Leader,
                                             const job &Job,
                                             const occurrence &Occurrence);
/** @brief Serializes pool sizes for the store. */
[[nodiscard]] std::string
toRecord(const std::map<std::string, std::size_t> &Sizes);
/** @return Empty if the record is invalid. */
[[nodiscard]] std::map<std::string, std::size_t>
parseSizes(std::string_view Record);
/** @brief Serializes demand peaks for the store. */
[[nodiscard]] std::string toRecord(const std::vector<demand_peak> &Peaks);
/** @return Empty if the record is invalid. */
[[nodiscard]] std::vector<demand_peak> parsePeaks(std::string_view Record);
/** @brief Removes jobs whose retention after their end has passed, also from
 * the store. */
void removeExpiredJobs(leader &Leader);
/** @brief Reduces ended jobs to their state, also in the store, so that a new
 * leader has little to read, and stores the task durations. */
void compactEndedJobs(leader &Leader);
/** @brief Serializes task durations for the store. */
[[nodiscard]] std::string toRecord(const duration_estimator &Durations);
/** @return Whether the record was valid. */
[[nodiscard]] bool restoreDurations(std::string_view Record,
                                    duration_estimator &Out);

} // namespace galenalink::job

#endif
