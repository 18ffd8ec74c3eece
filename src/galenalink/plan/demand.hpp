#ifndef GALENALINK_PLAN_DEMAND_HPP
#define GALENALINK_PLAN_DEMAND_HPP

#include "galenalink/core/fwd.hpp"
#include "galenalink/plan/fwd.hpp"

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

struct buffer_settings {
  std::uint32_t SlotsPerVm{8};
  /** Time over which observed demand is assumed to last. */
  wall_ms HorizonMs{10'000};
  /** Part of the slack that work may wait before VMs are moved, in percent. */
  std::uint32_t WaitPercent{90};
  /** Work that a move must save. */
  std::uint64_t MoveCostSlotMs{16'000};
  /** A surplus must last this long before VMs are taken from it. */
  wall_ms SurplusHoldMs{1'000};
  /** A VM is not moved again this soon after a move, except by a recall. */
  wall_ms CoolDownMs{5'000};
  /** VMs in motion for each member, recalls not counted. */
  std::uint32_t MaxPendingMoves{12};
  /** Older observations neither add nor take VMs. */
  wall_ms StaleMs{6'000};
  /** A surplus that lasts this long goes back to the spare pool. */
  wall_ms ReturnAfterMs{120'000};
  /** Time within which a recalled VM must be back with its owner. */
  wall_ms RecallWithinMs{30'000};
};

/**
 * @brief The demand as it is likely to be now: since it was observed, the queue
 * went on to grow or to shrink.
 * @param AgeMs Time since the observation.
 * @param Capacity Slots that served in this time.
 */
[[nodiscard]] pool_demand projectDemand(pool_demand Demand, wall_ms AgeMs,
                                        std::uint32_t Capacity) noexcept;

/**
 * @brief VMs that a pool needs so that its work starts in time.
 *
 * With `n` VMs, work that arrives over the horizon and the queue exceed what
 * is served over the horizon and the permitted wait by
 * `Queue + Slots * H - SlotsPerVm * n * (H + W)`. The result is the smallest
 * `n` for which this is not more than the cost of a move.
 */
[[nodiscard]] std::uint32_t
requiredVms(const pool_demand &Demand,
            const buffer_settings &Settings) noexcept;

/** @brief VMs that serve the demand and the queue with no use of the slack. */
[[nodiscard]] std::uint32_t
retainedVms(const pool_demand &Demand,
            const buffer_settings &Settings) noexcept;

} // namespace galenalink::plan

#endif
