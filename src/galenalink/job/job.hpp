#ifndef GALENALINK_JOB_JOB_HPP
#define GALENALINK_JOB_JOB_HPP

#include "galenalink/core/time.hpp"
#include "galenalink/job/types.hpp"
#include <optional>

namespace galenalink::job {

/** @brief Progress of one task. */
struct task {
  bool Done{false};
  /** Runs that ended by their own fault or their backend server's. */
  std::uint32_t Failures{0};
  /** Numbers of these runs; a successor sees ends that are recorded but not
   * told as seen a second time. Not kept for tasks that last. */
  std::vector<std::uint64_t> FailedRuns;
  /** Number of the newest start; 0 before the first one of this leader. */
  std::uint64_t LastRun{0};
  /** Runs that exist or may exist. */
  std::uint32_t Runs{0};
  /** Newest saved progress; empty for none. */
  std::string Checkpoint;
  /** Not started before, after a failure. */
  time_point NotBefore;
};

struct step {
  std::vector<task> Tasks;
  std::uint32_t Done{0};

  [[nodiscard]] bool done() const noexcept { return Done == Tasks.size(); }
};

/** @brief One time that the steps of a job are run. */
struct occurrence {
  std::uint32_t Number{0};
  wall_ms DueMs{0};
  /** End of the latency objective. */
  time_point Objective;
  /** After this, finishing the occurrence is worth nothing to the caller. */
  time_point Expiry;
  std::vector<step> Steps;

  [[nodiscard]] bool done() const noexcept;
};

/** @brief What the end of a run did to its job. */
enum class end_effect : std::uint8_t {
  /** The task or the job is not known or had ended before. */
  None,
  TaskDone,
  TaskFailed,
  JobCompleted,
  JobFailed,
};

/** @brief An accepted job with its progress. It holds no clock. */
class job {
public:
  job(std::string Id, std::string Queue, std::string Pool, job_spec Spec,
      wall_ms AcceptedMs);

  [[nodiscard]] const std::string &id() const noexcept { return Id; }
  [[nodiscard]] const std::string &queue() const noexcept { return Queue; }
  [[nodiscard]] const std::string &pool() const noexcept { return Pool; }
  void assignPool(std::string Name) { Pool = std::move(Name); }
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
  /** @brief Numbers below this are done or open. */
  [[nodiscard]] std::uint32_t openedCount() const noexcept {
    return OpenedCount;
  }

  /** @return Due time of the next occurrence that is not open yet. */
  [[nodiscard]] std::optional<wall_ms> nextDue() const noexcept;
  /** @brief Opens the next occurrence; the caller sets its deadlines. */
  occurrence &openNext();

  [[nodiscard]] task *find(const task_id &Id) noexcept;
  [[nodiscard]] const step_spec *stepSpec(const task_id &Id) const noexcept;
  /** @brief Whether the steps that a step depends on are done. */
  [[nodiscard]] bool ready(const occurrence &Occurrence,
                           std::size_t Step) const noexcept;
  [[nodiscard]] bool needsRun(const task_id &Id) noexcept;

  void markStarted() noexcept;
  end_effect taskDone(const task_id &Id);
  /** @param MaxAttempts Failures at which the job fails; tasks that last have
   * no limit. */
  end_effect taskFailed(const run_id &Run, std::uint32_t MaxAttempts);
  /** @return Whether the job was still open. */
  bool cancel() noexcept;

  /** @brief Drops what is of no use once the job has ended. */
  void dropWork() noexcept;
  /** @brief Progress as a record for the store. */
  [[nodiscard]] std::string progressRecord() const;
  /** @return Whether the record could be read. */
  [[nodiscard]] bool restore(std::string_view Progress);

private:
  void removeDoneOccurrences();

  std::string Id;
  std::string Queue;
  std::string Pool;
  job_spec Spec;
  wall_ms AcceptedMs;
  job_state State{job_state::Queued};
  std::vector<occurrence> OpenOccurrences;
  std::uint32_t OpenedCount{0};
};

/** @brief The constant part of a job as a record for the store. */
[[nodiscard]] std::string toRecord(const job &Job);
/** @return The job without progress; nothing if the record can't be read. */
[[nodiscard]] std::optional<job> parseJob(const std::string &Id,
                                          std::string_view Record);
/** @return A job that has ended, from its progress alone; nothing if it has
 * not ended or the record can't be read. */
[[nodiscard]] std::optional<job> parseEnded(const std::string &Id,
                                            std::string_view Progress);

} // namespace galenalink::job

#endif
