#ifndef GALENALINK_SCHEDULE_TYPES_HPP
#define GALENALINK_SCHEDULE_TYPES_HPP

#include "galenalink/core/attempt.hpp"
#include "galenalink/core/outcome.hpp"
#include "galenalink/core/time.hpp"
#include "galenalink/schedule/fwd.hpp"

namespace galenalink::schedule {

/** @brief Slots of one executor; there is one executor on each VM. */
inline constexpr std::uint32_t SlotsPerVm = 8;

/** @brief Position of an index in its table. */
template <typename Index>
[[nodiscard]] constexpr std::uint32_t rawIndex(const Index Value) noexcept {
  return static_cast<std::uint32_t>(Value);
}

[[nodiscard]] constexpr vm_index vmOf(const slot_index Slot) noexcept {
  return vm_index{rawIndex(Slot) / SlotsPerVm};
}

/** @brief Class that is believed from observed run times, not declared. */
enum class work_class : std::uint8_t { Short, Long };

inline constexpr enum_names<work_class, 2> WorkClassNames{{
    {work_class::Short, "short"},
    {work_class::Long, "long"},
}};

/** @brief Whether a VM may receive new work. Only `Up` may. */
enum class vm_state : std::uint8_t {
  Up,
  Draining,
  Leaving,
  /** The backend server refused the epoch that this node holds. */
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
  /** When the caller stops waiting. */
  time_point Deadline{};
};

/** @brief Answer to `enqueue`; `Reason` is `None` if the item was admitted. */
struct admission {
  refusal Reason{refusal::None};
  /** When a refused caller should try again, counted from now. */
  duration RetryAfter{};

  [[nodiscard]] bool admitted() const noexcept {
    return Reason == refusal::None;
  }
};

/** @brief An item that takes a slot of a VM now. */
struct dispatch {
  item_id Item{};
  attempt_id Attempt{};
  vm_index Vm{};
  work_class Class{};
};

/** @brief What follows from the end of an attempt. */
enum class attempt_disposition : std::uint8_t {
  /** The attempt is not held here: already released, or never known. */
  UnknownAttempt,
  /** The item is finished. */
  Done,
  /** The item waits for another VM. */
  Requeued,
  /** The item failed after it began and is not run again. */
  Failed,
  /** The item failed on several VMs that run other work well. */
  NeverRuns,
  /** No VM accepted the item; it did not run. */
  NotRun,
};

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
  /** Unset for an attempt that was taken over from `/status`. */
  item_id Item{};
  vm_index Vm{};
};

enum class cancel_state : std::uint8_t {
  NotFound,
  /** Removed from its queue. */
  Removed,
  /** Still running; the backend server has to be asked to stop it. */
  Running,
};

struct cancel_result {
  cancel_state State{cancel_state::NotFound};
  /** True if an earlier attempt began; then it must not be called not run. */
  bool MayHaveStarted{false};
  /** Set if `Running`. */
  attempt_id Attempt{};
  vm_index Vm{};
};

/** @brief An item whose time passed while it was queued. */
struct expired_item {
  item_id Item{};
  /** True if an earlier attempt began; then it must not be called not run. */
  bool MayHaveStarted{false};
};

} // namespace galenalink::schedule

#endif
