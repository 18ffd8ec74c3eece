#ifndef GALENALINK_CORE_OUTCOME_HPP
#define GALENALINK_CORE_OUTCOME_HPP

#include "galenalink/core/enum_names.hpp"
#include "galenalink/core/fwd.hpp"

namespace galenalink {

/** @brief What a caller is told about its request. */
enum class outcome : std::uint8_t {
  /** The complete result of this request. */
  Complete,
  /** Accepted with a handle; the result can be asked for later. */
  Accepted,
  /** Refused; no byte that could start the work has left any node. */
  NotRun,
  /** The work began and failed. */
  Failed,
  /** The work may have run. */
  Unknown,
};

/** @brief Names as sent in the header `Galenalink-Outcome`. */
inline constexpr enum_names<outcome, 5> OutcomeNames{{
    {outcome::Complete, "complete"},
    {outcome::Accepted, "accepted"},
    {outcome::NotRun, "not-run"},
    {outcome::Failed, "failed"},
    {outcome::Unknown, "unknown"},
}};

/** @brief Why a request was refused as not run. */
enum class refusal : std::uint8_t {
  None,
  BadRequest,
  NoSuchQueue,
  KeyReused,
  KeyExpired,
  Cancelled,
  QueueFull,
  DeadlineUnreachable,
  OverQuota,
  NoCapacity,
  NoAuthority,
  NotHome,
  NoReplicas,
  TableFull,
  Stopping,
  NeverRuns,
};

/** @brief Names as sent in the header `Galenalink-Reason`. */
inline constexpr enum_names<refusal, 16> RefusalNames{{
    {refusal::None, "none"},
    {refusal::BadRequest, "bad-request"},
    {refusal::NoSuchQueue, "no-such-queue"},
    {refusal::KeyReused, "key-reused"},
    {refusal::KeyExpired, "key-expired"},
    {refusal::Cancelled, "cancelled"},
    {refusal::QueueFull, "queue-full"},
    {refusal::DeadlineUnreachable, "deadline-unreachable"},
    {refusal::OverQuota, "over-quota"},
    {refusal::NoCapacity, "no-capacity"},
    {refusal::NoAuthority, "no-authority"},
    {refusal::NotHome, "not-home"},
    {refusal::NoReplicas, "no-replicas"},
    {refusal::TableFull, "table-full"},
    {refusal::Stopping, "stopping"},
    {refusal::NeverRuns, "never-runs"},
}};

} // namespace galenalink

#endif
