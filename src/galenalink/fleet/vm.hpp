#ifndef GALENALINK_FLEET_VM_HPP
#define GALENALINK_FLEET_VM_HPP

#include "galenalink/core/enum_names.hpp"
#include "galenalink/core/fwd.hpp"
#include "galenalink/fleet/fwd.hpp"
#include <string>

namespace galenalink::fleet {

/** @brief Condition of a VM as last reported. Values as in wire. */
enum class vm_condition : std::uint8_t { Unknown, Up, Down, Leaving };

inline constexpr enum_names<vm_condition, 4> VmConditionNames{{
    {vm_condition::Unknown, "unknown"},
    {vm_condition::Up, "up"},
    {vm_condition::Down, "down"},
    {vm_condition::Leaving, "leaving"},
}};

/** @brief Progress of a move to another pool. */
enum class vm_motion : std::uint8_t { None, Releasing, Drained };

inline constexpr enum_names<vm_motion, 3> VmMotionNames{{
    {vm_motion::None, "none"},
    {vm_motion::Releasing, "releasing"},
    {vm_motion::Drained, "drained"},
}};

/** @brief Progress of a maintenance. */
enum class vm_maintenance : std::uint8_t { None, Permitted, Rebooting, Stuck };

inline constexpr enum_names<vm_maintenance, 4> VmMaintenanceNames{{
    {vm_maintenance::None, "none"},
    {vm_maintenance::Permitted, "permitted"},
    {vm_maintenance::Rebooting, "rebooting"},
    {vm_maintenance::Stuck, "stuck"},
}};

/**
 * @brief A VM. Its first two cache lines serve most records, and processors
 * fetch such a pair at once if it is aligned.
 */
struct alignas(128) vm {
  std::string Name;
  pool_index Pool{0};
  std::uint32_t Shard{0};
  /**
   * Starts at the offset of vm_add and grows by one with each take and cancel,
   * so that no epoch of a name returns, even after removal.
   */
  std::uint64_t Epoch{0};
  vm_condition Condition{vm_condition::Unknown};
  vm_motion Motion{vm_motion::None};
  vm_maintenance Maintenance{vm_maintenance::None};
  /** Failed while a wave ran in its pool and is not back yet. */
  bool FailedInWave{false};
  /** Pool that receives the VM; valid while it is in motion. */
  pool_index ToPool{0};
  /** Number of the rack in the table; set by the table. */
  std::uint32_t RackNumber{0};
  /** Hash of Customer; set by the table. */
  std::uint64_t CustomerHash{0};
  /** Identifier of the reboot of the present or last maintenance. */
  std::uint64_t Action{0};
  /** Offset of the newest release or drained record of the present move. */
  log_offset MotionAt{0};
  /** Offset of the newest permit, reboot or stuck record. */
  log_offset MaintenanceAt{0};
  log_offset AddedAt{0};
  /** Log time of the last finished maintenance, or of vm_add. */
  wall_ms MaintainedAt{0};
  /** Log time of the last change of condition. */
  wall_ms ConditionSince{0};
  /** Log time of the last take, or of vm_add. */
  wall_ms OwnedSince{0};
  /** Owner; the pool may belong to another customer. */
  std::string Customer;
  /** Reason of the move in progress. */
  std::string MoveReason;
  std::string DataCentre;
  std::string Rack;
  std::string Address;

  /** @brief Whether the VM counts as up for the budget of its pool. */
  [[nodiscard]] bool usable() const noexcept {
    return Condition == vm_condition::Up && Motion == vm_motion::None &&
           Maintenance == vm_maintenance::None;
  }
};

} // namespace galenalink::fleet

#endif
