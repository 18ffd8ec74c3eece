#ifndef GALENALINK_FLEET_SHARD_MAP_HPP
#define GALENALINK_FLEET_SHARD_MAP_HPP

#include "galenalink/fleet/state.hpp"
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace galenalink::fleet {

/** @brief A node in a role of a shard. */
struct shard_seat {
  node_id Node{};
  /** Roster version since which it has the role without a break. */
  log_offset Since{0};

  [[nodiscard]] bool operator==(const shard_seat &) const = default;
};

/** @brief Home and replicas of one shard. */
struct shard_seats {
  std::optional<shard_seat> Home;
  /** In places different from the home's and from each other. */
  std::vector<shard_seat> Replicas;

  [[nodiscard]] bool operator==(const shard_seats &) const = default;
};

/**
 * @brief Seats of a shard by rendezvous hashing over one roster version.
 * Nodes of the pool's customer come before all others.
 * @param Replicas Number of replicas wanted; fewer if places are missing.
 */
[[nodiscard]] shard_seats assignShard(const roster_version &Roster,
                                      const pool &Pool, std::uint32_t Shard,
                                      std::size_t Replicas);

/** @brief Nodes in the order in which they perform a duty. */
[[nodiscard]] std::vector<node_id> dutyOrder(const roster &Roster,
                                             std::string_view Duty);

/** @brief Seats of all shards, worked out when the roster or pools change. */
class shard_map {
public:
  explicit shard_map(const std::size_t ReplicasIn = 2) noexcept
      : Replicas(ReplicasIn) {}

  /**
   * @brief Follows the state; to be called after each fold.
   * @return Whether any seat may have changed.
   */
  bool update(const state &State);

  /** @brief Seats of a shard, null if there is no such shard. */
  [[nodiscard]] const shard_seats *find(pool_index Pool,
                                        std::uint32_t Shard) const noexcept;
  /** @brief Roster version of these seats. */
  [[nodiscard]] log_offset version() const noexcept { return Version; }

private:
  void follow(const roster_version &Roster, const pool &Pool,
              std::vector<shard_seats> &Shards) const;

  std::size_t Replicas;
  log_offset Version{0};
  log_offset PoolsVersion{0};
  /** By pool and shard; empty for pools that are not configured. */
  std::vector<std::vector<shard_seats>> Seats;
};

} // namespace galenalink::fleet

#endif
