#ifndef GALENALINK_PLAN_BUFFER_HPP
#define GALENALINK_PLAN_BUFFER_HPP

#include "galenalink/core/enum_names.hpp"
#include "galenalink/plan/demand.hpp"
#include "galenalink/plan/view.hpp"
#include <span>

namespace galenalink::plan {

/** @brief VMs that one member may hold of another one at a time. */
struct lending_quota {
  customer_index From{0};
  customer_index To{0};
  std::uint32_t MaxVms{0};
};

/** @brief What the planner remembers between two rounds. */
struct buffer_state {
  /** For each pool, since when it has a surplus. */
  std::vector<std::optional<wall_ms>> SurplusSinceMs;
};

enum class move_reason : std::uint8_t { Peak, Borrow, Recall, Return };

inline constexpr enum_names<move_reason, 4> MoveReasonNames{{
    {move_reason::Peak, "peak"},
    {move_reason::Borrow, "borrow"},
    {move_reason::Recall, "recall"},
    {move_reason::Return, "return"},
}};

/** @brief A VM to be released to another pool. */
struct move {
  vm_index Vm{0};
  std::uint64_t Epoch{0};
  pool_index To{0};
  move_reason Reason{move_reason::Peak};
  /** For a recall, when the VM must be back; otherwise 0. */
  wall_ms DeadlineMs{0};
};

struct buffer_input {
  std::span<const vm_view> Vms;
  std::span<const pool_view> Pools;
  /** One for each pool; those of spare pools are ignored. */
  std::span<const pool_demand> Demand;
  std::span<const lending_quota> Quotas;
  buffer_settings Settings;
  buffer_state State;
};

struct buffer_plan {
  std::vector<move> Moves;
  buffer_state State;
  /** For each pool, VMs that it lacks after these moves. */
  std::vector<std::uint32_t> Shortfall;
};

/**
 * @brief Decides which VMs to move.
 *
 * A pool gets VMs when `requiredVms` exceeds what it has and gives VMs when it
 * has more than `retainedVms` for some time; the gap between the two and the
 * hold time are the hysteresis. VMs stay where they are until another pool
 * needs them or their surplus lasts `ReturnAfterMs`, so that a peak which moves
 * on costs one move and not two. Sources, in this order: the member's spare
 * pool, the member's pools above their home size, VMs that it lent (recalled in
 * the same round, whatever the cap and the cool-down), spares of other members
 * within quota that lack no VM themselves. A planned move needs headroom in the
 * pool that gives. Within a source, VMs are picked so that both pools stay
 * spread over places and racks. VMs with long work are not moved, except by a
 * recall.
 */
[[nodiscard]] buffer_plan planBuffer(const buffer_input &Input, wall_ms Now);

} // namespace galenalink::plan

#endif
