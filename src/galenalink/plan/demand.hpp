#ifndef GALENALINK_PLAN_DEMAND_HPP
#define GALENALINK_PLAN_DEMAND_HPP

#include "galenalink/core/fwd.hpp"
#include "galenalink/plan/fwd.hpp"

namespace galenalink::plan {

/** @brief Observed demand of a pool; lags behind the actual demand. */
struct pool_demand {
  /** Time of the observation. */
  wall_ms AtMs{0};
  /** Slots occupied by arriving work: arrival rate times run time. */
  std::uint32_t Slots{0};
  /** Queued work: slots times run time. */
  std::uint64_t QueuedSlotMs{0};
  /** Longest wait with which work still meets its deadline. */
  wall_ms SlackMs{10'000};
};

struct buffer_settings {
  std::uint32_t SlotsPerVm{8};
  /** Time over which observed demand is assumed to last. */
  wall_ms HorizonMs{10'000};
  /** Share of the slack that work may wait before VMs move, in percent. */
  std::uint32_t WaitPercent{90};
  /** Work that a move must save to be worthwhile. */
  std::uint64_t MoveCostSlotMs{16'000};
  /** A surplus must last this long before VMs are taken from it. */
  wall_ms SurplusHoldMs{1'000};
  /** Minimum time between two moves of a VM; recalls are exempt. */
  wall_ms CoolDownMs{5'000};
  /** Maximum pending moves per customer; recalls are not counted. */
  std::uint32_t MaxPendingMoves{12};
  /** Older observations neither add VMs to a pool nor remove any from it. */
  wall_ms MaxDemandAgeMs{6'000};
  /** A surplus that lasts this long is returned to the spare pool. */
  wall_ms ReturnAfterMs{120'000};
  /** Deadline for the return of a recalled VM to its owner. */
  wall_ms RecallTimeoutMs{30'000};
};

/**
 * @brief Extrapolates the queue of an observed demand to the present.
 * @param AgeMs Time since the observation.
 * @param Capacity Slots that processed work in this time.
 */
[[nodiscard]] pool_demand projectDemand(pool_demand Demand, wall_ms AgeMs,
                                        std::uint32_t Capacity) noexcept;

/**
 * @brief VMs that a pool needs for its work to start in time.
 *
 * With `n` VMs, work that arrives over the horizon and the queue exceed what
 * is served over the horizon and the permitted wait by
 * `Queue + Slots * H - SlotsPerVm * n * (H + W)`. The result is the smallest
 * `n` for which this is not more than the cost of a move.
 */
[[nodiscard]] std::uint32_t
requiredVms(const pool_demand &Demand,
            const buffer_settings &Settings) noexcept;

/** @brief VMs that process demand and queue without using the slack. */
[[nodiscard]] std::uint32_t
retainedVms(const pool_demand &Demand,
            const buffer_settings &Settings) noexcept;

} // namespace galenalink::plan

#endif
