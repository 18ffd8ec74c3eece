#ifndef GALENALINK_SCHEDULE_TYPES_HPP
#define GALENALINK_SCHEDULE_TYPES_HPP

#include "galenalink/core/attempt.hpp"
#include "galenalink/core/outcome.hpp"
#include "galenalink/core/time.hpp"
#include "galenalink/schedule/fwd.hpp"

namespace galenalink::schedule {

/** @brief Slots of a backend server. Each VM runs one backend server. */
inline constexpr std::uint32_t SlotsPerVm = 8;

/** @brief Underlying integer of an index type. */
template <typename Index>
[[nodiscard]] constexpr std::uint32_t rawIndex(const Index Value) noexcept {
  return static_cast<std::uint32_t>(Value);
}

[[nodiscard]] constexpr vm_index vmOf(const slot_index Slot) noexcept {
  return vm_index{rawIndex(Slot) / SlotsPerVm};
}

/** @brief Class of work, estimated from observed run times, not declared. */
enum class work_class : std::uint8_t { Short, Long };

inline constexpr enum_names<work_class, 2> WorkClassNames{{
    {work_class::Short, "short"},
    {work_class::Long, "long"},
}};

/** @brief State of a VM. Only a VM in state `Up` receives new work. */
enum class vm_state : std::uint8_t {
  Up,
  Draining,
  Leaving,
  /** The backend server rejected the epoch of this node as stale. */
  StaleEpoch,
};

inline constexpr enum_names<vm_state, 4> VmStateNames{{
    {vm_state::Up, "up"},
    {vm_state::Draining, "draining"},
    {vm_state::Leaving, "leaving"},
    {vm_state::StaleEpoch, "stale-epoch"},
}};

struct work_item {
  item_id Id{};
  queue_index Queue{};
  team_index Team{};
  /** Time at which the caller stops waiting. */
  time_point Deadline{};
};

/** @brief Result of `enqueue`; `Reason` is `None` if the item is admitted. */
struct admission {
  refusal Reason{refusal::None};
  /** Time from now after which a refused caller should retry. */
  duration RetryAfter{};

  [[nodiscard]] bool admitted() const noexcept {
    return Reason == refusal::None;
  }
};

/** @brief Assignment of an item to a slot of a VM. */
struct dispatch {
  item_id Item{};
  attempt_id Attempt{};
  vm_index Vm{};
  work_class Class{};
};

/** @brief How an item continues after the end of one of its attempts. */
enum class attempt_disposition : std::uint8_t {
  /** The attempt holds no slot: it was released already, or never started. */
  UnknownAttempt,
  /** The item is complete. */
  Done,
  /** The item was requeued for another VM. */
  Requeued,
  /** The item failed after it may have started, and is not retried. */
  Failed,
  /** The item failed on several VMs on which other work succeeds. */
  NeverRuns,
  /** The item did not run: all attempts were refused or abandoned. */
  NotRun,
};

/** @brief Stable outer names; `not-held` stands for `UnknownAttempt`. */
inline constexpr enum_names<attempt_disposition, 6> AttemptDispositionNames{{
    {attempt_disposition::UnknownAttempt, "not-held"},
    {attempt_disposition::Done, "done"},
    {attempt_disposition::Requeued, "requeued"},
    {attempt_disposition::Failed, "failed"},
    {attempt_disposition::NeverRuns, "never-runs"},
    {attempt_disposition::NotRun, "not-run"},
}};

struct attempt_end {
  attempt_disposition Disposition{attempt_disposition::UnknownAttempt};
  /** Unset for an attempt of another node, known only from `/status`. */
  item_id Item{};
  vm_index Vm{};
};

enum class cancel_state : std::uint8_t {
  NotFound,
  /** The item was removed from its queue. */
  Removed,
  /** The item is running; the backend server must be asked to stop it. */
  Running,
};

struct cancel_result {
  cancel_state State{cancel_state::NotFound};
  /** An attempt may have started; the item must not be reported as not run. */
  bool MayHaveStarted{false};
  /** `Attempt` and `Vm` are set only if `State` is `Running`. */
  attempt_id Attempt{};
  vm_index Vm{};
};

/** @brief An item whose latest start time passed while it was queued. */
struct expired_item {
  item_id Item{};
  /** An attempt may have started; the item must not be reported as not run. */
  bool MayHaveStarted{false};
};

} // namespace galenalink::schedule

#endif
