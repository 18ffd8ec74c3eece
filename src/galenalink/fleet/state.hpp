#ifndef GALENALINK_FLEET_STATE_HPP
#define GALENALINK_FLEET_STATE_HPP

#include "galenalink/fleet/append_window.hpp"
#include "galenalink/fleet/configuration.hpp"
#include "galenalink/fleet/roster.hpp"
#include "galenalink/fleet/vm_table.hpp"
#include <cstdint>
#include <optional>
#include <utility>

namespace galenalink::fleet {

/** @brief Which snapshot in the log is the newest complete one. */
struct snapshot_progress {
  /** Newest complete snapshot holds the records through this offset. */
  log_offset Through{0};
  /** Offset and log time of its last chunk. */
  log_offset WrittenAt{0};
  wall_ms WrittenAtMs{0};
  /** Snapshot that is being written, and its next chunk. */
  std::uint64_t Id{0};
  std::uint32_t NextIndex{0};
};

/**
 * @brief Everything that the nodes agree on: the fold of the log through
 * Offset. Equal on all nodes that folded the same records.
 */
struct state {
  explicit state(parse_hook Hook) : Parse(std::move(Hook)) {}

  /** Last folded offset. */
  log_offset Offset{0};
  /** Never goes back; at most one hour forward in one record. */
  wall_ms LogTime{0};
  std::uint64_t Accepted{0};
  std::uint64_t Rejected{0};
  roster Roster;
  configuration Config;
  vm_table Vms;
  append_window Appends;
  snapshot_progress Snapshot;
  /** Changes with each pool that is added or removed. */
  log_offset PoolsVersion{0};
  parse_hook Parse;
};

/**
 * @brief Result of an append by its id, if it was folded and is still in the
 * window. Changes of the configuration are found with the winning change.
 */
[[nodiscard]] std::optional<applied> findAppend(const state &State,
                                                std::uint64_t Id);

} // namespace galenalink::fleet

#endif
