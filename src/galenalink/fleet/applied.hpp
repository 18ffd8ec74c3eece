#ifndef GALENALINK_FLEET_APPLIED_HPP
#define GALENALINK_FLEET_APPLIED_HPP

#include "galenalink/core/enum_names.hpp"
#include "galenalink/core/fwd.hpp"
#include "galenalink/fleet/fwd.hpp"
#include <optional>
#include <string>

namespace galenalink::fleet {

/** @brief Why a record changed nothing. */
enum class rejection : std::uint8_t {
  None,
  Gap,
  Duplicate,
  BadRecord,
  UnknownBody,
  UnknownNode,
  NodeExists,
  NotPermitted,
  Conflict,
  InvalidDocument,
  FixedProperty,
  NameTaken,
  PoolInUse,
  UnknownPool,
  UnknownVm,
  VmExists,
  StaleEpoch,
  WrongState,
  WrongAction,
  Budget,
  FailureInWave,
  LendingQuota,
  Full,
};

inline constexpr enum_names<rejection, 23> RejectionNames{{
    {rejection::None, "none"},
    {rejection::Gap, "gap"},
    {rejection::Duplicate, "duplicate"},
    {rejection::BadRecord, "bad-record"},
    {rejection::UnknownBody, "unknown-body"},
    {rejection::UnknownNode, "unknown-node"},
    {rejection::NodeExists, "node-exists"},
    {rejection::NotPermitted, "not-permitted"},
    {rejection::Conflict, "conflict"},
    {rejection::InvalidDocument, "invalid-document"},
    {rejection::FixedProperty, "fixed-property"},
    {rejection::NameTaken, "name-taken"},
    {rejection::PoolInUse, "pool-in-use"},
    {rejection::UnknownPool, "unknown-pool"},
    {rejection::UnknownVm, "unknown-vm"},
    {rejection::VmExists, "vm-exists"},
    {rejection::StaleEpoch, "stale-epoch"},
    {rejection::WrongState, "wrong-state"},
    {rejection::WrongAction, "wrong-action"},
    {rejection::Budget, "budget"},
    {rejection::FailureInWave, "failure-in-wave"},
    {rejection::LendingQuota, "lending-quota"},
    {rejection::Full, "full"},
}};

/** @brief The accepted change that a conflicting one lost against. */
struct winning_change {
  std::string Document;
  log_offset Version{0};
  /** Append id of the change. */
  std::uint64_t Id{0};
  std::string Author;

  [[nodiscard]] bool operator==(const winning_change &) const = default;
};

/** @brief Result of folding one record. */
struct applied {
  rejection Reason{rejection::None};
  log_offset Offset{0};
  /** Set for rejection::Conflict. */
  std::optional<winning_change> Winner;
  /** Document, pool or diagnostic that explains a rejected change. */
  std::string Detail;
  /** VM that the record changed, added or removed. */
  std::optional<vm_index> Vm;

  [[nodiscard]] bool accepted() const noexcept {
    return Reason == rejection::None;
  }
  [[nodiscard]] bool operator==(const applied &) const = default;
};

} // namespace galenalink::fleet

#endif
