#ifndef GALENALINK_REQUEST_EFFECTS_HPP
#define GALENALINK_REQUEST_EFFECTS_HPP

#include "galenalink/request/entry.hpp"
#include <variant>
#include <vector>

namespace galenalink::request {

/** @brief Names an entry of one ledger; stale handles are recognised. */
struct entry_handle {
  std::uint32_t Index{};
  std::uint32_t Generation{};

  [[nodiscard]] bool operator==(const entry_handle &) const noexcept = default;
};

/** @brief Tells a caller what became of its request. */
struct answer {
  waiter Waiter{};
  outcome Outcome{};
  refusal Refusal{};
  duration RetryAfter{};
  shared_text Body;
};

/** @brief The entry waits for a slot; `ledger::find` describes it. */
struct enqueue {
  entry_handle Entry;
};

/** @brief The entry no longer waits for a slot. */
struct dequeue {
  entry_handle Entry;
};

/** @brief Sends the request to a backend server, at once and only once. */
struct dispatch {
  entry_handle Entry;
  attempt_id Attempt;
  std::string Vm;
  std::uint64_t Epoch{};
  std::string Queue;
  shared_text Body;
};

/** @brief Asks a backend server to stop an attempt. */
struct stop_attempt {
  attempt_id Attempt;
  std::string Vm;
};

/** @brief The attempt holds its slot no longer. Made once for an attempt. */
struct release_slot {
  attempt_id Attempt;
  std::string Vm;
  /** False if the backend server may still be running the attempt. */
  bool Certain{true};
};

/** @brief Records for a replica. */
struct replicate {
  node_id To{};
  std::uint64_t Call{};
  log_offset Version{};
  std::vector<entry_record> Entries;
  /** Every record of this roster version was acknowledged before. */
  bool Synced{false};
  /** Valid with `Synced`. */
  horizon Horizon;
};

/** @brief A replica's reply to `replicate`. */
struct replicate_reply {
  node_id From{};
  std::uint64_t Call{};
  log_offset Version{};
  bool Accepted{false};
};

using effect = std::variant<answer, enqueue, dequeue, dispatch, stop_attempt,
                            release_slot, replicate>;

/** @brief Effects of an operation, in the order in which they must happen. */
using effects = std::vector<effect>;

} // namespace galenalink::request

#endif
