#ifndef GALENALINK_REQUEST_DETAIL_ENTRY_TABLE_HPP
#define GALENALINK_REQUEST_DETAIL_ENTRY_TABLE_HPP

#include "galenalink/request/effects.hpp"
#include <deque>
#include <unordered_map>
#include <vector>

namespace galenalink::request::detail {

/** @brief What an entry waits for; more detailed than its state. */
enum class phase : std::uint8_t {
  /** A slot. */
  Queued,
  /** Replicas' acknowledgements, before the caller is given a handle. */
  Accepting,
  /** Replicas' acknowledgements, before the dispatch. */
  Preparing,
  /** Replicas' acknowledgements, before the caller is told "not run". */
  Withdrawing,
  /** The backend server. */
  Running,
  /** Nothing; the state is final. */
  Done,
};

inline constexpr std::uint32_t NoIndex = ~std::uint32_t{0};

struct list_link {
  std::uint32_t Previous{NoIndex};
  std::uint32_t Next{NoIndex};
  bool Linked{false};
};

struct entry {
  request_key Key;
  std::string Queue;
  std::string Team;
  std::string Vm;
  /** The body until the state is final, then the result. */
  shared_text Payload;
  std::vector<waiter> Waiters;
  std::uint64_t BodyHash{};
  std::uint64_t Epoch{};
  attempt_id Attempt{};
  revision Revision;
  time_point Deadline;
  time_point ExpiresAt;
  time_point StepDeadline;
  duration RetryAfter{};
  list_link Expiry;
  list_link Step;
  std::uint32_t Index{};
  std::uint32_t Generation{};
  entry_state State{};
  phase Phase{};
  refusal Refusal{};
  /** Bit of each replica that has not acknowledged the newest record. */
  std::uint8_t Missing{};
  bool Idempotent{};
  bool LongWork{};
  /** The caller was given a handle, which all replicas hold. */
  bool HandleGiven{};
  /** A former home may have given a handle. */
  bool Restored{};
  /** A replica may hold a record from which a new home would run the work. */
  bool Exposed{};
  /** An attempt of this idempotent work may have run, without a result. */
  bool Ran{};
  bool Used{};
  /** The attempt is in the table's index of attempts. */
  bool AttemptKnown{};

  [[nodiscard]] entry_handle handle() const noexcept {
    return {Index, Generation};
  }
};

/** @brief Entries with their indexes; every operation is O(1). */
class entry_table {
public:
  [[nodiscard]] entry *find(const request_key &Key) noexcept;
  [[nodiscard]] const entry *find(const request_key &Key) const noexcept;
  [[nodiscard]] entry *find(entry_handle Handle) noexcept;
  [[nodiscard]] entry *find(attempt_id Attempt) noexcept;
  /** @brief Adds an entry; the key must not be present. */
  [[nodiscard]] entry &create(request_key Key);
  void erase(entry &Entry);

  /** @brief Makes the entry's attempt findable, in place of the last one. */
  void bindAttempt(entry &Entry, attempt_id Attempt);
  void unbindAttempt(entry &Entry);
  void setPayload(entry &Entry, shared_text Payload);

  /** @brief Appends to the expiry order; deadlines must not decrease. */
  void scheduleExpiry(entry &Entry, time_point At);
  /** @brief Appends to the order of steps; deadlines must not decrease. */
  void scheduleStep(entry &Entry, time_point At);
  void endStep(entry &Entry);
  [[nodiscard]] entry *firstExpiry() noexcept;
  [[nodiscard]] entry *firstStep() noexcept;
  [[nodiscard]] entry *nextStep(const entry &Entry) noexcept;

  /** @brief Number of slots, used or not; indexes are below it. */
  [[nodiscard]] std::size_t slots() const noexcept { return Slots.size(); }
  /** @brief The entry in a slot, or null. */
  [[nodiscard]] entry *at(std::size_t Slot) noexcept;
  [[nodiscard]] const entry *at(std::size_t Slot) const noexcept;
  [[nodiscard]] std::size_t size() const noexcept { return ByKey.size(); }
  /** @brief Bytes of keys, bodies and results. */
  [[nodiscard]] std::size_t bytes() const noexcept { return Bytes; }

private:
  struct list {
    std::uint32_t First{NoIndex};
    std::uint32_t Last{NoIndex};
  };
  struct key_hash {
    [[nodiscard]] std::size_t
    operator()(const request_key *const Key) const noexcept {
      return request_key_hash{}(*Key);
    }
  };
  struct key_equal {
    [[nodiscard]] bool operator()(const request_key *const Left,
                                  const request_key *const Right) const {
      return *Left == *Right;
    }
  };

  void append(list &List, list_link entry::*Link, entry &Entry);
  void remove(list &List, list_link entry::*Link, entry &Entry);

  // A deque keeps entries in place, so the index can point at their keys.
  std::deque<entry> Slots;
  std::vector<std::uint32_t> Free;
  std::unordered_map<const request_key *, std::uint32_t, key_hash, key_equal>
      ByKey;
  std::unordered_map<attempt_id, std::uint32_t, attempt_hash> ByAttempt;
  list ExpiryOrder;
  list StepOrder;
  std::size_t Bytes{};
};

} // namespace galenalink::request::detail

#endif
