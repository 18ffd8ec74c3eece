#ifndef GALENALINK_PLAN_BUFFER_HPP
#define GALENALINK_PLAN_BUFFER_HPP

#include "galenalink/core/enum_names.hpp"
#include "galenalink/plan/demand.hpp"
#include "galenalink/plan/view.hpp"
#include <span>

namespace galenalink::plan {

/** @brief Maximum number of VMs that customer `From` lends to `To` at once. */
struct lending_quota {
  customer_index From{0};
  customer_index To{0};
  std::uint32_t MaxVms{0};
};

/** @brief Planner state that is kept between two rounds. */
struct buffer_state {
  /** Start of the current surplus of each pool, if it has one. */
  std::vector<std::optional<wall_ms>> SurplusSinceMs;
};

enum class move_reason : std::uint8_t { Peak, Borrow, Recall, Return };

inline constexpr enum_names<move_reason, 4> MoveReasonNames{{
    {move_reason::Peak, "peak"},
    {move_reason::Borrow, "borrow"},
    {move_reason::Recall, "recall"},
    {move_reason::Return, "return"},
}};

/** @brief Order to release a VM to another pool. */
struct move {
  vm_index Vm{0};
  std::uint64_t Epoch{0};
  pool_index To{0};
  move_reason Reason{move_reason::Peak};
  /** Deadline for the return of a recalled VM; 0 for other moves. */
  wall_ms DeadlineMs{0};
};

struct buffer_input {
  std::span<const vm_view> Vms;
  std::span<const pool_view> Pools;
  /** One entry for each pool; entries of spare pools are ignored. */
  std::span<const pool_demand> Demand;
  std::span<const lending_quota> Quotas;
  buffer_settings Settings;
  buffer_state State;
};

struct buffer_plan {
  std::vector<move> Moves;
  buffer_state State;
  /** VMs that each pool still lacks after these moves. */
  std::vector<std::uint32_t> Shortfall;
};

/**
 * @brief Decides which VMs to move.
 *
 * A pool receives VMs when it has fewer than `requiredVms` and releases VMs
 * when it has had more than `retainedVms` for `SurplusHoldMs`; the gap between
 * the two numbers and the hold time provide hysteresis. Surplus VMs stay in
 * their pool until another pool needs them or the surplus has lasted
 * `ReturnAfterMs`, so that a peak that shifts from one pool to another costs
 * one move per VM instead of two.
 *
 * Sources are tried in this order:
 * - the customer's spare pool;
 * - the customer's pools above their initial size;
 * - VMs that the customer has lent, which are recalled in the same round
 *   regardless of `MaxPendingMoves` and `CoolDownMs`;
 * - spare pools of other customers, within quota, if none of the lender's pools
 *   has a shortfall.
 *
 * Except for a recall, the releasing pool needs headroom for its own VMs, and
 * VMs with long-running work are not moved. Within a source, VMs are selected
 * so that both pools stay spread across data centres and racks.
 */
[[nodiscard]] buffer_plan planBuffer(const buffer_input &Input, wall_ms Now);

} // namespace galenalink::plan

#endif
