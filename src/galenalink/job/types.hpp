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

/** @brief Room that a task needs or that a backend server has. */
struct resources {
  /** Thousandths of a core. */
  std::int64_t Cpu{0};
  /** MB. */
  std::int64_t Memory{0};
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

/** @brief A step of a job: a number of equal tasks. */
struct step_spec {
  std::uint32_t Count{0};
  resources Size;
  /** Rough estimate of one task's duration, ms; may be far off. */
  std::uint32_t EstimateMs{0};
  /** Earlier steps whose tasks must all be done first. */
  std::vector<std::uint32_t> DependsOn;
  bool Checkpointing{false};
  /** The tasks work only together. */
  bool Gang{false};
  bool SameRack{false};
  /** Copies of a task may run at the same time. */
  bool Speculative{false};
  /** The tasks run until the job is cancelled. */
  bool LongRunning{false};
  /** The tasks take only processor time that others leave unused. */
  bool BestEffort{false};
  /** Label that the backend server must have; empty for none. */
  std::string Label;
  /** Rack where the data is; empty for none. */
  std::string Rack;
  /** Most tasks of the step on one backend server; 0 for no limit. */
  std::uint32_t MaxPerServer{0};
  std::string Image;
  /** Bound of the tail of the tasks' own response times, ms; 0 for none. */
  std::uint32_t TargetMs{0};
  /** Tasks that the system may take away at the same time; 0 for no budget. */
  std::uint32_t DisruptionBudget{0};

  [[nodiscard]] bool operator==(const step_spec &) const = default;
};

/** @brief What a caller asks for. */
struct job_spec {
  std::string Spec;
  std::vector<step_spec> Steps;
  /** Occurrences; 0 for a job that runs once, as soon as possible. */
  std::uint32_t Times{0};
  /** Due time of the first occurrence. */
  wall_ms StartAtMs{0};
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

/** @brief Name of one task. */
struct task_id {
  std::string Job;
  std::uint32_t Occurrence{0};
  std::uint32_t Step{0};
  std::uint32_t Index{0};

  [[nodiscard]] auto operator<=>(const task_id &) const = default;
};

/** @brief Name of one start of a task. */
struct run_id {
  task_id Task;
  /** Rises with each start of the task, over all leaders. */
  std::uint64_t Number{0};

  [[nodiscard]] auto operator<=>(const run_id &) const = default;
};

/** @brief How a run ended, as its backend server lists it. */
enum class run_outcome : std::uint8_t {
  Done,
  /** By its own fault or the backend server's. */
  Failed,
  Stopped,
  /** Its lease passed. */
  LeaseExpired,
  /** Another member of its gang ended. */
  GangFailed,
  /** The other members of its gang did not come. */
  GangIncomplete,
};

inline constexpr enum_names<run_outcome, 6> RunOutcomeNames{{
    {run_outcome::Done, "done"},
    {run_outcome::Failed, "failed"},
    {run_outcome::Stopped, "stopped"},
    {run_outcome::LeaseExpired, "lapsed"},
    {run_outcome::GangFailed, "broken"},
    {run_outcome::GangIncomplete, "alone"},
}};

/** @brief What a caller is told of a job. */
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

/** @brief How a service decides which backend servers may run a step. */
struct ticket_rule {
  /** Time of one decision, and of each backend server named, ms. */
  std::uint32_t DecisionMs{0};
  std::uint32_t PerServerMs{0};
  /** How long a ticket is valid, ms. */
  std::uint32_t ValidityMs{0};

  [[nodiscard]] bool operator==(const ticket_rule &) const = default;
};

/** @brief A queue and the pool that runs its jobs. */
struct queue_rule {
  std::string Name;
  std::string Host;
  /** Beginning of the paths of the queue's jobs, with the last slash. */
  std::string PathPrefix;
  std::string Pool;
  /** 0 comes first. */
  std::uint32_t Priority{0};
  /** Failed runs after which a task's job has failed. */
  std::uint32_t MaxAttempts{1};
  /** Objective of a job: this times its longest chain of work ... */
  double Stretch{1};
  /** ... and this more, ms. */
  std::uint32_t SlackMs{0};
  /** Longest time for the answer to a call, ms. */
  std::uint32_t TimeoutMs{0};
  /** Set if only some backend servers may run a step, and a service says
   * which. */
  std::optional<ticket_rule> Advice;

  [[nodiscard]] bool operator==(const queue_rule &) const = default;
};

struct pool_rule {
  std::string Name;
  /** Its backend servers refuse what does not fit. */
  bool EnforcesCapacity{false};
  /** Its VMs are off and free of charge. */
  bool Standby{false};

  [[nodiscard]] bool operator==(const pool_rule &) const = default;
};

/** @brief One version of what the operator published. */
struct fleet_rules {
  std::uint64_t Version{0};
  std::vector<queue_rule> Queues;
  std::vector<pool_rule> Pools;

  [[nodiscard]] const queue_rule *queue(std::string_view Name) const noexcept {
    for (const auto &Each : Queues) {
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

/** @brief A wave of VMs that are due for maintenance. */
struct wave {
  std::uint64_t Number{0};
  std::vector<std::string> Vms;
  std::uint32_t WindowS{0};
  /** Most VMs of the wave that are down for it at once. */
  std::uint32_t MaxUnavailable{1};

  [[nodiscard]] bool operator==(const wave &) const = default;
};

} // namespace galenalink::job

#endif
