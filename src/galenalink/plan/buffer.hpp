#ifndef GALENALINK_PLAN_BUFFER_HPP
#define GALENALINK_PLAN_BUFFER_HPP

#include "galenalink/core/enum_names.hpp"
#include "galenalink/plan/view.hpp"
#include <span>

namespace galenalink::plan {

/** @brief Observed demand of a pool; it lags behind the actual demand. */
struct pool_demand {
  /** When it was observed. */
  wall_ms AtMs{0};
  /** Slots that arriving work occupies: arrival rate times run time. */
  std::uint32_t Slots{0};
  /** Queued work as slots times their run time. */
  std::uint64_t QueuedSlotMs{0};
  /** Time that work may wait and still meet its deadline. */
  wall_ms SlackMs{10'000};
};

/** @brief VMs that one member may hold of another one at a time. */
struct lending_quota {
  member_index From{0};
  member_index To{0};
  std::uint32_t MaxVms{0};
};

struct buffer_settings {
  std::uint32_t SlotsPerVm{8};
  /** Time over which observed demand is assumed to last. */
  wall_ms HorizonMs{10'000};
  /** Part of the slack that work may wait before VMs are moved, in percent. */
  std::uint32_t WaitPercent{50};
  /** Work that a move must save. */
  std::uint64_t MoveCostSlotMs{16'000};
  /** A surplus must last this long before VMs are taken from it. */
  wall_ms SurplusHoldMs{2'000};
  /** A VM is not moved again this soon after a move, except by a recall. */
  wall_ms CoolDownMs{5'000};
  /** VMs in motion for each member, recalls not counted. */
  std::uint32_t MaxInMotion{8};
  /** Older observations neither add nor take VMs. */
  wall_ms StaleMs{6'000};
  /** A surplus that lasts this long goes back to the spare pool. */
  wall_ms ReturnAfterMs{120'000};
  /** Time within which a recalled VM must be back with its owner. */
  wall_ms RecallWithinMs{30'000};
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
  std::vector<std::uint32_t> Unmet;
};

/**
 * @brief VMs that a pool needs so that its work starts in time.
 *
 * With `n` VMs, work that arrives over the horizon and the queue exceed what
 * is served over the horizon and the permitted wait by
 * `Queue + Slots * H - SlotsPerVm * n * (H + W)`. The result is the smallest
 * `n` for which this is not more than the cost of a move.
 */
[[nodiscard]] std::uint32_t neededVms(const pool_demand &Demand,
                                      const buffer_settings &Settings) noexcept;

/** @brief VMs that serve the demand and the queue with no use of the slack. */
[[nodiscard]] std::uint32_t keptVms(const pool_demand &Demand,
                                    const buffer_settings &Settings) noexcept;

/**
 * @brief Decides which VMs to move.
 *
 * A pool gets VMs when `neededVms` exceeds what it has and gives VMs when it
 * has more than `keptVms` for some time; the gap between the two and the hold
 * time are the hysteresis. VMs stay where they are until another pool needs
 * them or their surplus lasts `ReturnAfterMs`, so that a peak which moves on
 * costs one move and not two. Sources, in this order: the member's spare pool,
 * the member's pools above their home size, VMs that it lent (recalled in the
 * same round, whatever the cap and the cool-down), spares of other members
 * within quota that lack no VM themselves. A planned move needs headroom in the
 * pool that gives. Within a source, VMs are picked so that both pools stay
 * spread over places and racks. VMs with long work are not moved, except by a
 * recall.
 */
[[nodiscard]] buffer_plan planBuffer(const buffer_input &Input, wall_ms Now);

} // namespace galenalink::plan

#endif
