#ifndef GALENALINK_REQUEST_ENTRY_HPP
#define GALENALINK_REQUEST_ENTRY_HPP

#include "galenalink/core/attempt.hpp"
#include "galenalink/core/enum_names.hpp"
#include "galenalink/core/outcome.hpp"
#include "galenalink/core/shared_text.hpp"
#include "galenalink/core/time.hpp"
#include "galenalink/request/fwd.hpp"
#include <string>
#include <string_view>
#include <tuple>

namespace galenalink::request {

/** @brief State of a request in the ledger. */
enum class entry_state : std::uint8_t {
  /** Held; no attempt that could run it is outstanding. */
  Accepted,
  /** An attempt may be running. */
  Dispatched,
  Completed,
  Failed,
  /** Refused as not run after the caller was given a handle. */
  Refused,
  /** Cancelled before it ran. */
  Cancelled,
  /** It may have run; it is never run again. */
  Unknown,
};

inline constexpr enum_names<entry_state, 7> EntryStateNames{{
    {entry_state::Accepted, "accepted"},
    {entry_state::Dispatched, "dispatched"},
    {entry_state::Completed, "completed"},
    {entry_state::Failed, "failed"},
    {entry_state::Refused, "refused"},
    {entry_state::Cancelled, "cancelled"},
    {entry_state::Unknown, "unknown"},
}};

/** @brief True for states that no attempt changes any more. */
[[nodiscard]] constexpr bool isFinal(const entry_state State) noexcept {
  return State != entry_state::Accepted && State != entry_state::Dispatched;
}

/** @brief Identity of a request. */
struct request_key {
  std::string Customer;
  std::string Service;
  std::string Key;

  [[nodiscard]] bool operator==(const request_key &) const = default;
  [[nodiscard]] bool operator<(const request_key &Other) const noexcept {
    return std::tie(Customer, Service, Key) <
           std::tie(Other.Customer, Other.Service, Other.Key);
  }
};

/** @brief Hash of a key, for tables in memory. */
struct request_key_hash {
  [[nodiscard]] std::size_t operator()(const request_key &Key) const noexcept;
};

/** @brief Hash of an attempt, for tables in memory. */
struct attempt_hash {
  [[nodiscard]] std::size_t operator()(const attempt_id &Id) const noexcept;
};

/**
 * @brief Hash that tells a repeated request from another request under the
 * same key. The queue counts as part of the body.
 */
[[nodiscard]] std::uint64_t bodyHash(std::string_view Queue,
                                     std::string_view Body) noexcept;

/** @brief Order of the records of one key, across homes. */
struct revision {
  /** Roster version at which the record was made. */
  log_offset Version{};
  /** Counts the records of one home; never reused by a ledger. */
  std::uint64_t Sequence{};

  [[nodiscard]] bool operator==(const revision &) const noexcept = default;
  [[nodiscard]] bool operator<(const revision &Other) const noexcept {
    return std::tie(Version, Sequence) <
           std::tie(Other.Version, Other.Sequence);
  }
};

/** @brief What replicas hold of an entry. */
struct entry_record {
  request_key Key;
  std::uint64_t BodyHash{};
  entry_state State{};
  /** Last attempt; zero if there was none. */
  attempt_id Attempt{};
  std::string Vm;
  std::string Queue;
  std::string Team;
  /** Empty unless a new home may have to run the work. */
  shared_text Body;
  shared_text Result;
  /** Time left before a final entry is forgotten. */
  duration ExpiresIn{};
  refusal Refusal{};
  bool Idempotent{};
  bool LongWork{};
  revision Revision;
};

/**
 * @brief Limit of what a ledger knows after a takeover without evidence.
 *
 * A non-idempotent key that the ledger does not hold may have run, unless it
 * was issued after `FreshAfter`; this ends when `Remaining` has passed.
 */
struct horizon {
  /** Zero when the ledger knows every key. */
  duration Remaining{};
  wall_ms FreshAfter{};
};

/**
 * @brief How long a key is remembered. A timed key may be accepted when it is
 * one skew ahead of the home, and judged by another home one skew behind.
 */
[[nodiscard]] constexpr duration rememberedFor(const duration Retention,
                                               const duration Skew) noexcept {
  return Retention + 2 * Skew;
}

/** @brief Time and authority, read once for an operation. */
struct instant {
  time_point Now;
  wall_ms Wall{};
  /** The node may act as home before this deadline. */
  time_point AuthorityDeadline{NoDeadline};

  [[nodiscard]] constexpr bool authorized() const noexcept {
    return Now < AuthorityDeadline;
  }
};

} // namespace galenalink::request

#endif
