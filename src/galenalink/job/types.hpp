#ifndef GALENALINK_JOB_TYPES_HPP
#define GALENALINK_JOB_TYPES_HPP

#include "galenalink/core/enum_names.hpp"
#include "galenalink/core/fwd.hpp"
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenalink::job {

/** @brief Resources that a task requests or that a backend server offers. */
struct resources {
  /** Thousandths of a core. */
  std::int64_t Cpu{0};
  /** MB. */
  std::int64_t Memory{0};
  /** Number of GPUs. */
  std::int64_t Gpu{0};

  [[nodiscard]] bool operator==(const resources &) const = default;
  [[nodiscard]] bool fits(const resources &Free) const noexcept {
    return Cpu <= Free.Cpu && Memory <= Free.Memory && Gpu <= Free.Gpu;
  }
  resources &operator+=(const resources &Other) noexcept {
    Cpu += Other.Cpu;
    Memory += Other.Memory;
    Gpu += Other.Gpu;
    return *this;
  }
  resources &operator-=(const resources &Other) noexcept {
    Cpu -= Other.Cpu;
    Memory -= Other.Memory;
    Gpu -= Other.Gpu;
    return *this;
  }
};

/** @brief A step of a job: a number of identical tasks. */
struct step_spec {
  std::uint32_t Count{0};
  /** Request of one task. */
  resources Size;
  /** Caller's estimate of one task's duration, ms; may be far off. */
  std::uint32_t EstimateMs{0};
  /** Indexes of earlier steps that must be complete before this one starts. */
  std::vector<std::uint32_t> DependsOn;
  /** The tasks save checkpoints and can resume from them. */
  bool Checkpointing{false};
  /** The tasks run only as a group: all at the same time or none. */
  bool Gang{false};
  /** For a gang: all tasks run in one rack if possible. */
  bool SameRack{false};
  /** Several runs of one task may exist at the same time. */
  bool Speculative{false};
  /** The tasks are services that run until the job is cancelled. */
  bool LongRunning{false};
  /** The tasks use only CPU time that other tasks leave idle. */
  bool BestEffort{false};
  /** Label that the backend server must have; empty for no requirement. */
  std::string Label;
  /** Rack that holds the input data; empty for none. */
  std::string Rack;
  /** Maximum number of the step's tasks on one backend server; 0 for no
   * limit. */
  std::uint32_t MaxPerServer{0};
  std::string Image;
  /** Target for the tail latency of the requests that a task serves, ms; 0 for
   * none. */
  std::uint32_t TargetMs{0};
  /** Maximum number of tasks that the system may disrupt at the same time; 0
   * for no budget. */
  std::uint32_t DisruptionBudget{0};

  [[nodiscard]] bool operator==(const step_spec &) const = default;
};

/** @brief A job as submitted by a caller. */
struct job_spec {
  /** Opaque specification that is passed to the backend servers with each
   * start. */
  std::string Spec;
  std::vector<step_spec> Steps;
  /** Number of occurrences; 0 for a job that runs once, as soon as possible. */
  std::uint32_t Times{0};
  /** Due time of the first occurrence, ms since the Unix epoch. */
  wall_ms StartAtMs{0};
  /** Time between the due times of two occurrences, ms. */
  std::uint32_t IntervalMs{0};

  [[nodiscard]] bool operator==(const job_spec &) const = default;
  [[nodiscard]] std::uint32_t occurrences() const noexcept {
    return Times == 0 ? 1 : Times;
  }
  [[nodiscard]] bool isLongRunning() const noexcept {
    for (const auto &Step : Steps) {
      if (Step.LongRunning)
        return true;
    }
    return false;
  }
};

/** @brief Identifies a task. */
struct task_id {
  std::string Job;
  std::uint32_t Occurrence{0};
  std::uint32_t Step{0};
  std::uint32_t Index{0};

  [[nodiscard]] auto operator<=>(const task_id &) const = default;
};

/** @brief Identifies a run: one start of a task. */
struct run_id {
  task_id Task;
  /** Increases with each start of the task, across leaders. */
  std::uint64_t Number{0};

  [[nodiscard]] auto operator<=>(const run_id &) const = default;
};

/** @brief How a run ended, as reported by its backend server. */
enum class run_outcome : std::uint8_t {
  Done,
  /** The task or its backend server failed. */
  Failed,
  Stopped,
  /** The lease of its backend server expired. */
  LeaseExpired,
  /** Another task of its gang ended. */
  GangFailed,
  /** The other tasks of its gang did not start in time. */
  GangIncomplete,
};

/** Names in messages and metrics; three differ from the enumerators. */
inline constexpr enum_names<run_outcome, 6> RunOutcomeNames{{
    {run_outcome::Done, "done"},
    {run_outcome::Failed, "failed"},
    {run_outcome::Stopped, "stopped"},
    {run_outcome::LeaseExpired, "lapsed"},
    {run_outcome::GangFailed, "broken"},
    {run_outcome::GangIncomplete, "alone"},
}};

/** @brief Why the end of a run that a backend server reports changes no task.
 */
enum class ignored_end : std::uint8_t {
  UnknownJob,
  JobEnded,
  OccurrenceDone,
  /** No leader can have opened the occurrence. */
  OccurrenceNotOpen,
  UnknownTask,
  TaskDone,
};

inline constexpr enum_names<ignored_end, 6> IgnoredEndNames{{
    {ignored_end::UnknownJob, "unknown-job"},
    {ignored_end::JobEnded, "job-ended"},
    {ignored_end::OccurrenceDone, "occurrence-done"},
    {ignored_end::OccurrenceNotOpen, "occurrence-not-open"},
    {ignored_end::UnknownTask, "unknown-task"},
    {ignored_end::TaskDone, "task-done"},
}};

/** @brief State of a job as reported to callers. */
enum class job_state : std::uint8_t {
  Queued,
  Running,
  Completed,
  Failed,
  Cancelled,
};

inline constexpr enum_names<job_state, 5> JobStateNames{{
    {job_state::Queued, "queued"},
    {job_state::Running, "running"},
    {job_state::Completed, "completed"},
    {job_state::Failed, "failed"},
    {job_state::Cancelled, "cancelled"},
}};

/** @brief Limits of the ticket service, which decides which backend servers may
 * run a step. */
struct ticket_rule {
  /** Fixed part of the time to answer a request, ms. */
  std::uint32_t DecisionMs{0};
  /** Additional time to answer for each backend server in a request, ms. */
  std::uint32_t PerServerMs{0};
  /** Validity of a ticket, ms. */
  std::uint32_t ValidityMs{0};

  [[nodiscard]] bool operator==(const ticket_rule &) const = default;
};

/** @brief The part of a queue's configuration by which its accepted jobs are
 * scheduled and judged. */
struct job_rule {
  /** 0 is the highest priority. */
  std::uint32_t Priority{0};
  /** Number of failed runs of one task at which its job fails. */
  std::uint32_t MaxAttempts{1};
  /** The latency objective of a job is `Stretch` times its critical path, plus
   * `SlackMs`. */
  double Stretch{1};
  std::uint32_t SlackMs{0};
  /** Set for an advised queue: its tasks may start only with a ticket of the
   * ticket service, which grants tickets for some backend servers only. */
  std::optional<ticket_rule> Advice;

  [[nodiscard]] bool operator==(const job_rule &) const = default;
};

/** @brief Configuration of a queue. */
struct queue_rule : job_rule {
  std::string Name;
  std::string Host;
  /** Prefix of the paths of the queue's jobs, including the final slash. */
  std::string PathPrefix;
  /** Pool that runs the queue's jobs. */
  std::string Pool;
  /** Maximum time to answer a caller's request, ms. */
  std::uint32_t TimeoutMs{0};
  /** Requests need no key of a customer. */
  bool Public{false};

  [[nodiscard]] bool operator==(const queue_rule &) const = default;
};

/** @brief Configuration of a customer. */
struct customer_rule {
  std::string Name;
  /** Each key identifies its callers. */
  std::vector<std::string> Keys;
  /** Share of a full pool relative to the other customers, and the number of
   * new jobs a second up to which it has a claim to service; 0 for neither. */
  double Weight{0};
  /** Resources that its runs may use at the same time on all backend servers
   * together; 0 for no limit. */
  resources Quota;

  [[nodiscard]] bool operator==(const customer_rule &) const = default;
};

/** @brief Configuration of a pool. */
struct pool_rule {
  std::string Name;
  /** Its backend servers refuse tasks that exceed their free resources. */
  bool EnforcesCapacity{false};
  /** Its VMs are powered off and cost nothing. */
  bool Standby{false};

  [[nodiscard]] bool operator==(const pool_rule &) const = default;
};

/** @brief One version of the configuration that the operator published. */
struct fleet_rules {
  std::uint64_t Version{0};
  std::vector<queue_rule> Queues;
  std::vector<pool_rule> Pools;
  /** Unset if the configuration has no customers, so that no request needs a
   * key. */
  std::optional<std::vector<customer_rule>> Customers;

  [[nodiscard]] const queue_rule *queue(std::string_view Name) const noexcept {
    for (const auto &Each : Queues) {
      if (Each.Name == Name)
        return &Each;
    }
    return nullptr;
  }
  [[nodiscard]] const customer_rule *
  customer(std::string_view Name) const noexcept {
    if (!Customers)
      return nullptr;
    for (const auto &Each : *Customers) {
      if (Each.Name == Name)
        return &Each;
    }
    return nullptr;
  }
  [[nodiscard]] const pool_rule *pool(std::string_view Name) const noexcept {
    for (const auto &Each : Pools) {
      if (Each.Name == Name)
        return &Each;
    }
    return nullptr;
  }
};

/** @brief A maintenance wave: VMs that are due for maintenance together. */
struct wave {
  std::uint64_t Number{0};
  std::vector<std::string> Vms;
  /** Time within which the wave is to be completed, s. */
  std::uint32_t WindowS{0};
  /** Maximum number of the wave's VMs in maintenance at the same time. */
  std::uint32_t MaxUnavailable{1};

  [[nodiscard]] bool operator==(const wave &) const = default;
};

} // namespace galenalink::job

#endif
