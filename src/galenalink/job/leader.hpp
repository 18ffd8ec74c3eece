#ifndef GALENALINK_JOB_LEADER_HPP
#define GALENALINK_JOB_LEADER_HPP

#include "galenalink/job/advice.hpp"
#include "galenalink/job/demand.hpp"
#include "galenalink/job/duration_estimator.hpp"
#include "galenalink/job/job.hpp"
#include "galenalink/job/journal.hpp"
#include "galenalink/job/server.hpp"
#include "galenalink/job/turn_forecast.hpp"
#include <memory>
#include <set>
#include <unordered_map>

namespace galenalink::job {

/** @brief What a caller is told. */
struct caller_reply {
  enum class verdict : std::uint8_t {
    /** Accepted and stored, or cancelled, or the state asked for. */
    Ok,
    /** Not accepted; the job does not run. */
    Refused,
    NoQueue,
    NoJob,
    /** Nothing is promised: it may or may not have been accepted. */
    Unknown,
    /** Between nodes: the one that was asked does not lead. */
    NotLeading,
  };
  verdict Verdict{verdict::Unknown};
  job_state State{job_state::Queued};
  /** Answer to a question about a queue: its jobs without a started task. */
  std::uint64_t Pending{0};
  /** With a refusal: when the job would fit, ms from now. */
  std::uint32_t RetryAfterMs{0};
  /** Why, for the log. */
  std::string Reason;
};

inline constexpr enum_names<caller_reply::verdict, 6> VerdictNames{{
    {caller_reply::verdict::Ok, "ok"},
    {caller_reply::verdict::Refused, "refused"},
    {caller_reply::verdict::NoQueue, "no-queue"},
    {caller_reply::verdict::NoJob, "no-job"},
    {caller_reply::verdict::Unknown, "unknown"},
    {caller_reply::verdict::NotLeading, "not-leading"},
}};

using reply_function = std::function<void(const caller_reply &)>;

/** @brief Limits of the platform and of the leader. */
struct leader_settings {
  /** Name of the node, as holder of orders for VMs. */
  std::string Node;
  /** Length of the leases of runs. */
  duration Lease{std::chrono::milliseconds{4500}};
  /** How long a missing registration may still come back. */
  duration RegistrationGrace{std::chrono::milliseconds{3000}};
  /** Ended jobs can be asked for at least this long. */
  duration EndedJobRetention{std::chrono::seconds{150}};
  /** How long VMs take to change their pool. */
  duration MoveTime{std::chrono::milliseconds{1500}};
  duration MaintenanceTime{std::chrono::milliseconds{2000}};
  /** Two holders' orders for one VM are at least this far apart. */
  duration HolderPause{std::chrono::milliseconds{3000}};
};

/** @brief Decisions and outcomes of a node since its start. */
struct counters {
  std::uint64_t AdmittedInTime{0};
  std::uint64_t AdmittedDeferred{0};
  std::uint64_t Refused{0};
  std::uint64_t Starts{0};
  std::uint64_t StartsRefused{0};
  std::uint64_t StartsUnknown{0};
  /** By how the runs ended. */
  std::map<run_outcome, std::uint64_t> Ends;
  std::uint64_t ServersLost{0};
  std::uint64_t Moves{0};
  std::uint64_t Maintenances{0};
};

/** @brief An order for a VM that is not known to be complete. */
struct pending_vm_order {
  /** Pool to move to; empty for maintenance. */
  std::string Pool;
  std::uint64_t Wave{0};
  /** Backend server that ended with the order. */
  std::string Server;
  time_point OrderedAt;
  /** The order is on its way. */
  bool Sent{false};
  bool Accepted{false};
  time_point AcceptedAt;
};

/** @brief Progress of a wave of maintenance. */
struct wave_progress {
  wave Wave;
  /** End of its window, ms since 1970; 0 before the wave itself was read. */
  wall_ms DeadlineMs{0};
  std::set<std::string> Done;
  /** VMs that get no new work before their maintenance, and since when. */
  std::map<std::string, time_point> Draining;
  bool RunningPublished{false};
  bool CompletedPublished{false};
  bool Publishing{false};
};

/** @brief A job with what the leader knows of it beside its progress. */
struct job_entry {
  explicit job_entry(job Job) : Job{std::move(Job)} {}

  job Job;
  /** The store has the job, so that its tasks may start. */
  bool Stored{false};
  /** Newest state that the store has; what callers are shown. */
  job_state StoredState{job_state::Queued};
  /** Accepted under an earlier leader, whose runs may exist anywhere in the
   * pool until its backend servers have answered. */
  bool Recovered{false};
  time_point EndedAt;
  /** Admitted to run in room that work in time leaves. */
  bool Deferred{false};
  /** It has ended, and only its state is kept. */
  bool Compacted{false};
  std::vector<reply_function> OnStored;
};

/**
 * @brief State of the node that places work, for one epoch. It has one owner;
 * the modules beside it are functions on it.
 */
struct leader {
  leader(const ports &Ports, leader_settings Settings, std::uint64_t Epoch,
         std::function<time_point()> Now, std::function<wall_ms()> Wall,
         const std::function<void()> &OnFenced);

  const ports &Ports;
  leader_settings Settings;
  std::uint64_t Epoch;
  std::function<time_point()> Now;
  std::function<wall_ms()> Wall;
  std::function<void()> OnFenced;
  journal Journal;

  fleet_rules Rules;
  std::map<std::string, std::unique_ptr<job_entry>> Jobs;
  /** Jobs that have not ended. */
  std::map<std::string, job_entry *> Open;
  /** By id of the incarnation. */
  std::map<std::string, std::unique_ptr<server>> Servers;
  duration_estimator Times;
  advice_book Advice;
  /** A question is on its way; the next one is not sent before the time. */
  bool TicketRequestPending{false};
  time_point NextTicketRequest;
  /** Outlives the leader, so that counts only grow. */
  std::shared_ptr<counters> Counts{std::make_shared<counters>()};
  /** Newest list of VMs, and when it was asked for; empty before the first. */
  std::map<std::string, vm> Vms;
  time_point VmsRequestedAt{NoDeadline};
  std::map<std::string, pending_vm_order> PendingVmOrders;
  /** VMs that an earlier leader may have ordered a moment ago. */
  std::set<std::string> RecentlyOrdered;
  std::map<std::uint64_t, wave_progress> Waves;
  /** Arriving work by pool. */
  std::map<std::string, demand_meter> Demand;
  seen_jobs SeenJobs;
  turn_forecast Forecast;
  /** VMs of each pool before any was moved. */
  std::map<std::string, std::size_t> InitialSizes;
  /** Since when each pool has had room to spare. */
  std::map<std::string, time_point> SurplusSince;
  time_point LeadingSince;
  /** Whether the lead was confirmed so lately that no successor can order VMs
   * yet. */
  std::function<bool()> LeadConfirmed;
  /** Placement may find something to do. */
  bool NeedsDispatch{true};
  /** Callbacks of hooks check it, since the leader may have stepped down. */
  std::shared_ptr<bool> LifetimeToken{std::make_shared<bool>(true)};

  [[nodiscard]] job_entry *findJob(const std::string &Id) const {
    const auto Found = Jobs.find(Id);
    return Found == Jobs.end() ? nullptr : Found->second.get();
  }
  /** @return Null for an incarnation that is not known (any more). */
  [[nodiscard]] server *findServer(const std::string &Id) const {
    const auto Found = Servers.find(Id);
    return Found == Servers.end() ? nullptr : Found->second.get();
  }
  /** Called after each answer of a hook, which may have made work. */
  std::function<void()> AfterEvent;

  /** @brief Wraps a callback so that it does nothing after the leader is
   * gone. */
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

/** @brief Adds a job to the tables. */
job_entry &addJob(leader &Leader, job Job);
/** @brief Has the job's progress written, and then shows its new state. */
void recordProgress(leader &Leader, job_entry &Entry);
/** @brief Ends the job: stops its runs and records the state. */
void endJob(leader &Leader, job_entry &Entry);
/** @brief Sets the objectives of all open occurrences by the current rules. */
void setObjectives(leader &Leader, job_entry &Entry);
/** @brief Opens occurrences that are due and sets their objectives. */
void openDueOccurrences(leader &Leader, job_entry &Entry);
/** @brief Longest chain of work of a job by the declared and learnt
 * durations, ms. */
[[nodiscard]] double criticalPathMs(const leader &Leader,
                                    const std::string &Queue,
                                    const job_spec &Spec);
/** @brief What a successor must know of a wave. */
[[nodiscard]] std::string toRecord(const wave_progress &Wave);
/** @return Progress without the wave itself. */
[[nodiscard]] std::optional<wave_progress> parseWave(std::string_view Record);
/** @brief Longest chain of the work that an occurrence has left, ms. */
[[nodiscard]] double remainingCriticalPathMs(const leader &Leader,
                                             const job &Job,
                                             const occurrence &Occurrence);
/** @brief Sizes of pools as a record for the store. */
[[nodiscard]] std::string
toRecord(const std::map<std::string, std::size_t> &Sizes);
/** @return Empty if the record can't be read. */
[[nodiscard]] std::map<std::string, std::size_t>
parseSizes(std::string_view Record);
/** @brief Peaks of demand as a record for the store. */
[[nodiscard]] std::string toRecord(const std::vector<turn> &Peaks);
/** @return Empty if the record can't be read. */
[[nodiscard]] std::vector<turn> parsePeaks(std::string_view Record);
/** @brief Removes jobs that ended long ago, also from the store. */
void removeExpiredJobs(leader &Leader);
/** @brief Keeps only the state of jobs that have ended, so that a successor has
 * little to read, and has learnt durations written. */
void compactEndedJobs(leader &Leader);
/** @brief Learnt durations as a record for the store. */
[[nodiscard]] std::string toRecord(const duration_estimator &Times);
/** @return Whether the record could be read. */
[[nodiscard]] bool restoreDurations(std::string_view Record,
                                    duration_estimator &Out);

} // namespace galenalink::job

#endif
