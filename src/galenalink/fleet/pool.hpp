#ifndef GALENALINK_FLEET_POOL_HPP
#define GALENALINK_FLEET_POOL_HPP

#include "galenalink/fleet/fwd.hpp"
#include <map>
#include <string>
#include <vector>

namespace galenalink::fleet {

/** @brief Counts of the VMs of one pool, kept with each change of a VM. */
struct pool_counts {
  std::uint32_t Vms{0};
  /** Up, in no motion and no maintenance. */
  std::uint32_t Usable{0};
  std::uint32_t InMotion{0};
  /** VMs of other pools that move here. */
  std::uint32_t Incoming{0};
  /** Permitted or rebooting. */
  std::uint32_t InMaintenance{0};
  std::uint32_t Stuck{0};
  std::uint32_t FailedInWave{0};
  /** Usable VMs of the rack that has most of them. */
  std::uint32_t LargestRack{0};

  [[nodiscard]] bool operator==(const pool_counts &) const = default;
};

/** @brief A pool of VMs; stays known by name after it was removed. */
struct pool {
  std::string Name;
  std::string Customer;
  /** Hash of Customer; set by the table. */
  std::uint64_t CustomerHash{0};
  /** Fixed for the life of the name. */
  std::uint32_t Shards{1};
  std::uint32_t MinUp{0};
  bool Spare{false};
  /** Document that defines the pool; empty once it was removed. */
  std::string Document;
  /** VMs that each service on the pool needs, by "member/service". */
  std::map<std::string, std::uint32_t> ServiceMinUp;
  /** Largest of MinUp and ServiceMinUp. */
  std::uint32_t Budget{0};
  pool_counts Counts;
  /** VMs by shard. */
  std::vector<std::uint32_t> ShardVms;
  /** Usable VMs by the number of their rack; narrow, to stay in cache. */
  std::vector<std::uint16_t> RackUsable;
  /** Number of racks by their usable VMs; the entry for none wraps. */
  std::vector<std::uint32_t> RacksBySize;

  [[nodiscard]] bool configured() const noexcept { return !Document.empty(); }
  /** @brief Shard with the fewest VMs, the first of equals. */
  [[nodiscard]] std::uint32_t emptiestShard() const noexcept;
  void updateBudget() noexcept;
  void addRack(std::uint32_t Rack);
  void removeRack(std::uint32_t Rack) noexcept;
  /** @brief Usable VMs of the largest rack once one of this rack is gone. */
  [[nodiscard]] std::uint32_t
  largestRackWithout(std::uint32_t Rack) const noexcept;
};

} // namespace galenalink::fleet

#endif
