#ifndef GALENALINK_JOB_JOB_HPP
#define GALENALINK_JOB_JOB_HPP

#include "galenalink/core/time.hpp"
#include "galenalink/job/types.hpp"
#include <optional>

namespace galenalink::job {

/** @brief Progress of one task. */
struct task {
  bool Done{false};
  /** Runs that failed by a fault of the task or its backend server. */
  std::uint32_t Failures{0};
  /** Numbers of the failed runs. A new leader receives an ended run again if
   * its predecessor stored it but did not acknowledge it to the backend server;
   * the numbers keep it from being counted twice. Not kept for long-running
   * tasks. */
  std::vector<std::uint64_t> FailedRuns;
  /** Number of the latest run; 0 before the first start by this leader. */
  std::uint64_t LastRun{0};
  /** Number of runs that exist or may exist. */
  std::uint32_t Runs{0};
  /** Latest checkpoint; empty for none. */
  std::string Checkpoint;
  /** Retry back-off: the task is not started before this time. */
  time_point NotBefore;
  /** When a run was released that its backend server did not list as ended;
   * the task is not started before an append since then has succeeded. */
  time_point ReleasedAt;
};

/** @brief Progress of one step of an occurrence. */
struct step {
  std::vector<task> Tasks;
  /** Number of tasks that are done. */
  std::uint32_t Done{0};

  [[nodiscard]] bool done() const noexcept { return Done == Tasks.size(); }
};

/** @brief One execution of the steps of a job. */
struct occurrence {
  std::uint32_t Number{0};
  /** Due time, ms since the Unix epoch. */
  wall_ms DueMs{0};
  /** Deadline by the latency objective. */
  time_point Objective;
  /** After this time, completion has no more value to the caller. */
  time_point Expiry;
  std::vector<step> Steps;

  [[nodiscard]] bool done() const noexcept;
};

/** @brief Effect of an ended run on its job. */
enum class end_effect : std::uint8_t {
  /** The task is unknown, or the task or the job had ended before. */
  None,
  TaskDone,
  TaskFailed,
  JobCompleted,
  JobFailed,
};

/** @brief An accepted job with its progress. Does not read the clock. */
class job {
public:
  job(std::string Id, std::string Queue, std::string Pool, job_spec Spec,
      wall_ms AcceptedMs);

  [[nodiscard]] const std::string &id() const noexcept { return Id; }
  [[nodiscard]] const std::string &queue() const noexcept { return Queue; }
  [[nodiscard]] const std::string &pool() const noexcept { return Pool; }
  /** @brief Customer that submitted the job; empty for none. */
  [[nodiscard]] const std::string &customer() const noexcept {
    return Customer;
  }
  void setCustomer(std::string Name) { Customer = std::move(Name); }
  /** @brief Pools that the queue was sent to before, where runs of the job may
   * still exist. */
  [[nodiscard]] const std::vector<std::string> &formerPools() const noexcept {
    return FormerPools;
  }
  void setFormerPools(std::vector<std::string> Names) {
    FormerPools = std::move(Names);
  }
  /** @return The newest known rule of the job's queue, also after a later
   * version removed the queue; `nullptr` if none is known. */
  [[nodiscard]] const job_rule *rule() const noexcept {
    return Rule ? &*Rule : nullptr;
  }
  /** @brief Version that `rule()` is from; 0 without one. */
  [[nodiscard]] std::uint64_t ruleVersion() const noexcept {
    return RuleVersion;
  }
  void setRule(const job_rule &NewRule, const std::uint64_t Version) {
    Rule = NewRule;
    RuleVersion = Version;
  }
  /** @brief Adopts rule and pool of the job's queue, unless the version is
   * older than the known one.
   * @return Whether rule or pool changed. */
  bool adoptRule(const queue_rule &Queue, std::uint64_t Version);
  [[nodiscard]] const job_spec &spec() const noexcept { return Spec; }
  [[nodiscard]] wall_ms acceptedMs() const noexcept { return AcceptedMs; }
  [[nodiscard]] job_state state() const noexcept { return State; }
  [[nodiscard]] bool ended() const noexcept {
    return State != job_state::Queued && State != job_state::Running;
  }
  /** @brief Occurrences that are due and not done, oldest first. */
  [[nodiscard]] std::vector<occurrence> &openOccurrences() noexcept {
    return OpenOccurrences;
  }
  [[nodiscard]] const std::vector<occurrence> &
  openOccurrences() const noexcept {
    return OpenOccurrences;
  }
  /** @brief Number of occurrences opened so far, including completed ones. */
  [[nodiscard]] std::uint32_t openedCount() const noexcept {
    return OpenedCount;
  }

  /** @brief Number of occurrences that are done. */
  [[nodiscard]] std::uint32_t doneCount() const noexcept {
    return OpenedCount - static_cast<std::uint32_t>(OpenOccurrences.size());
  }

  /** @return Due time of the next occurrence to open, ms since the Unix epoch;
   * `nullopt` if none is left. */
  [[nodiscard]] std::optional<wall_ms> nextDue() const noexcept;
  /** @brief Whether an occurrence is left to open and due. A job without times
   * is due once it is accepted, whatever the clock of a later leader shows. */
  [[nodiscard]] bool isNextDue(wall_ms Wall) const noexcept;
  /** @brief Opens the next occurrence; the caller sets its deadlines. */
  occurrence &openNext();

  [[nodiscard]] task *find(const task_id &Id) noexcept;
  [[nodiscard]] const step_spec *stepSpec(const task_id &Id) const noexcept;
  /** @brief Whether all steps that a step depends on are done. */
  [[nodiscard]] bool ready(const occurrence &Occurrence,
                           std::size_t Step) const noexcept;
  /** @brief Whether the job is open and the task is not done. */
  [[nodiscard]] bool needsRun(const task_id &Id) noexcept;

  void markStarted() noexcept;
  end_effect taskDone(const task_id &Id);
  /** @brief Counts a failed run, and fails the job if the task has reached the
   * attempt limit. Without a known limit the job stays open. */
  end_effect taskFailed(const run_id &Run);
  /** @brief Whether the attempt limit permits another run of the task. Without
   * a known limit it does until the first failure. */
  [[nodiscard]] bool permitsRun(const step_spec &Step,
                                const task &Task) const noexcept;
  /** @brief Fails the job if one of its tasks has reached the attempt limit.
   * @return Whether it failed now. */
  bool failAtLimit() noexcept;
  /** @return Whether the job was still open. */
  bool cancel() noexcept;

  /** @brief Discards the specification and the occurrences of an ended job to
   * free memory. */
  void dropWork() noexcept;
  /** @brief Serializes the progress for the store. */
  [[nodiscard]] std::string progressRecord() const;
  /** @brief Restores the progress from a stored record.
   * @return Whether the record was valid. */
  [[nodiscard]] bool restore(std::string_view Progress);

private:
  void removeDoneOccurrences();
  /** @brief Whether a task has failed so often that its job fails; false for
   * long-running tasks and without a known limit. */
  [[nodiscard]] bool reachedLimit(const step_spec &Step,
                                  const task &Task) const noexcept;

  std::string Id;
  std::string Queue;
  std::string Pool;
  std::string Customer;
  std::vector<std::string> FormerPools;
  job_spec Spec;
  wall_ms AcceptedMs;
  std::optional<job_rule> Rule;
  std::uint64_t RuleVersion{0};
  job_state State{job_state::Queued};
  std::vector<occurrence> OpenOccurrences;
  std::uint32_t OpenedCount{0};
};

/** @return Upper bound of what an open occurrence adds to the progress record,
 * without failed runs and checkpoints, bytes. */
[[nodiscard]] std::size_t occurrenceRecordBytes(const job_spec &Spec) noexcept;
/** @brief Serializes specification, pool and rule of a job for the store. */
[[nodiscard]] std::string toRecord(const job &Job);
/** @return The job without its progress; `nullopt` if the record is invalid. */
[[nodiscard]] std::optional<job> parseJob(const std::string &Id,
                                          std::string_view Record);
/** @brief Restores an ended job from its progress record alone.
 * @return `nullopt` if the job has not ended or the record is invalid. */
[[nodiscard]] std::optional<job> parseEnded(const std::string &Id,
                                            std::string_view Progress);

} // namespace galenalink::job

#endif
