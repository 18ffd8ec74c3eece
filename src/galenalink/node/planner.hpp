#ifndef GALENALINK_NODE_PLANNER_HPP
#define GALENALINK_NODE_PLANNER_HPP

#include "galenalink/fleet/rights.hpp"
#include "galenalink/node/demand_table.hpp"
#include "galenalink/node/log_follower.hpp"
#include "galenalink/plan/buffer.hpp"
#include "galenalink/plan/maintenance.hpp"
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace galenalink::node {

/** @brief The fleet as the planning decisions see it. */
struct plan_input {
  std::vector<plan::vm_view> Vms;
  std::vector<plan::pool_view> Pools;
  std::vector<plan::pool_demand> Demand;
  std::vector<plan::lending_quota> Quotas;
  /** Fleet index of each VM and pool. */
  std::vector<fleet::vm_index> VmIndex;
  std::vector<fleet::pool_index> PoolIndex;
};

/**
 * @brief Converts the fleet state for the planning decisions.
 * @param InitialVms VMs that the platform lists for a pool.
 */
[[nodiscard]] plan_input makePlanInput(
    const fleet::state &State, const demand_table &Demand, wall_ms Now,
    const std::function<std::uint32_t(const std::string &)> &InitialVms);

/**
 * @brief Appends the permits and the moves that the planning decisions ask
 * for, if this node is first in rank.
 */
class planner {
public:
  planner(const fleet::node_view &View, log_follower &Log,
          std::function<std::uint32_t(const std::string &)> InitialVms,
          std::function<void(std::string_view, std::string)> Decided);

  void tick(time_point Now);
  [[nodiscard]] demand_table &demand() noexcept { return Demand; }

private:
  void planMaintenance(plan_input &Input, wall_ms Now);
  void planBuffer(const plan_input &Input, wall_ms Now);
  void append(wire::record Record, const std::string &Vm, std::string Text);

  const fleet::node_view &View;
  log_follower &Log;
  std::function<std::uint32_t(const std::string &)> InitialVms;
  std::function<void(std::string_view, std::string)> Decided;
  demand_table Demand;
  plan::buffer_settings Settings;
  /** Since when each pool has a surplus, and a wave, by pool. */
  std::map<fleet::pool_index, wall_ms> SurplusSince;
  std::map<fleet::pool_index, wall_ms> WaveSince;
  /** Records under way; nothing is planned until they are folded. */
  std::size_t Appending{0};
};

} // namespace galenalink::node

#endif
