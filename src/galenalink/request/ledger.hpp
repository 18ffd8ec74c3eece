#ifndef GALENALINK_REQUEST_LEDGER_HPP
#define GALENALINK_REQUEST_LEDGER_HPP

#include "galenalink/request/detail/entry_table.hpp"
#include "galenalink/request/effects.hpp"
#include <optional>
#include <unordered_map>
#include <vector>

namespace galenalink::request {

struct ledger_settings {
  std::size_t MaxEntries{100'000};
  /** Bytes of keys, bodies and results at which new requests are refused. */
  std::size_t MaxBytes{std::size_t{64} << 20U};
  /** How long the key of finished work is remembered. */
  duration Retention{std::chrono::hours{1}};
  /** Largest difference between two wall clocks. */
  duration ClockSkew{std::chrono::seconds{2}};
  /** How long replicas may take to acknowledge a step. */
  duration AckTimeout{std::chrono::seconds{2}};
  std::size_t RequiredReplicas{2};
};

/** @brief A request of a caller. */
struct submission {
  request_key Key;
  std::string Queue;
  std::string Team;
  shared_text Body;
  bool Idempotent{};
  bool LongWork{};
  time_point Deadline;
  waiter Waiter{};
};

enum class submit_result : std::uint8_t {
  /** A new entry, which waits for a slot or for replicas. */
  New,
  /** The same request is in flight; the caller waits for its answer. */
  Joined,
  /** The same request has a stored outcome, which was answered. */
  Replayed,
  /** Refused as not run. */
  Refused,
  /** The request may have run before a takeover. */
  Unknown,
};

enum class prepare_result : std::uint8_t {
  Dispatched,
  /** Replicas must acknowledge the attempt first. */
  Waiting,
  /** Dispatch is not allowed now; the entry stays queued. */
  NoAuthority,
  /** The replicas do not hold the ledger yet; the entry stays queued. */
  NotReady,
  /** The entry no longer waits for a slot. */
  NotQueued,
};

enum class cancel_result : std::uint8_t {
  NotFound,
  /** Nothing was changed. */
  NoAuthority,
  Cancelled,
  /** Not run once the replicas know; the answer follows. */
  Withdrawing,
  /** Running; the backend server was asked to stop. */
  Stopping,
  /** The outcome was already final; it was answered. */
  Finished,
};

/** @brief Stored outcome of a request; views are valid until the next call. */
struct query_result {
  entry_state State{};
  outcome Outcome{};
  refusal Refusal{};
  std::string_view Result;
};

/** @brief What a scheduler needs of a queued entry. */
struct work_view {
  const request_key *Key{};
  std::string_view Queue;
  std::string_view Team;
  time_point Deadline;
  bool Idempotent{};
  bool LongWork{};
};

/**
 * @brief The requests of one shard, at its home.
 *
 * Without authority another node may be home already, so no request is called
 * "not run" but for `NotHome` or `NoAuthority`; these state only that this
 * node did not run it, and the entry node asks the home again.
 *
 * Every operation appends its effects to the given list. Work that is not
 * idempotent is dispatched, and long work is accepted, only after all replicas
 * of the current roster version acknowledged the record, with an authority
 * that is checked in the call that returns the effect.
 */
class ledger {
public:
  /** @param Version Roster version at which the node became home. */
  ledger(ledger_settings Settings, log_offset Version)
      : Settings(Settings), Version(Version) {}

  // Requests of callers.
  submit_result submit(submission Submission, instant At, effects &Out);
  cancel_result cancel(const request_key &Key, waiter Waiter, instant At,
                       effects &Out);
  /** @brief Drops a caller that waits no longer; its request goes on. */
  void detach(const request_key &Key, waiter Waiter);
  /** @brief Nothing if the key is not held and cannot have run. */
  [[nodiscard]] std::optional<query_result> query(const request_key &Key,
                                                  instant At) const;

  // Decisions of the scheduler.
  [[nodiscard]] std::optional<work_view> find(entry_handle Entry);
  /**
   * @brief Starts an attempt of a queued entry on a slot that the caller
   * holds. Unless the entry stays queued, exactly one `release_slot` follows.
   * @param Attempt Never used before by this node.
   */
  prepare_result prepare(entry_handle Entry, attempt_id Attempt, std::string Vm,
                         std::uint64_t Epoch, instant At, effects &Out);
  /** @brief Refuses a queued entry as not run; false if it is not queued. */
  bool refuse(entry_handle Entry, refusal Reason, duration RetryAfter,
              instant At, effects &Out);

  // Reports about attempts; false if the attempt is not awaited.
  bool answered(attempt_id Attempt, shared_text Result, time_point Now,
                effects &Out);
  /** @brief The backend server refused before the start. */
  bool refusedByServer(attempt_id Attempt, effects &Out);
  /** @param MayRetry Whether the retry budget allows another attempt. */
  bool failed(attempt_id Attempt, shared_text Message, bool MayRetry,
              time_point Now, effects &Out);
  /** @brief The answer will not come; the attempt may have run. */
  bool lost(attempt_id Attempt, bool MayRetry, time_point Now, effects &Out);

  // Replication.
  /** @brief Starts, or continues, as home under a roster version. */
  void rosterChanged(log_offset NewVersion, const std::vector<node_id> &Nodes,
                     time_point Now, effects &Out);
  void acknowledged(const replicate_reply &Reply, instant At, effects &Out);
  /** @brief Repeats all that a replica has not acknowledged. */
  void resend(node_id Node, time_point Now, effects &Out);
  /** @brief Runs what is due: expiry and steps without acknowledgements. */
  void tick(instant At, effects &Out);

  // Change of the home.
  /** @brief Adds an entry of a former home, in order of rising `ExpiresIn`. */
  void restore(entry_record Record, time_point Now, effects &Out);
  void setHorizon(horizon Horizon, time_point Now);
  /**
   * @brief States that a former home may have run idempotent work that is in
   * no record; a refusal of such a key is not called "not run".
   */
  void setIdempotentHorizon(horizon Horizon, time_point Now);
  /**
   * @brief Ends the role of home. Running attempts are still awaited and
   * answered here, nothing else is.
   * @return The records for this node's own replica of the shard.
   */
  [[nodiscard]] std::vector<entry_record> retire(time_point Now, effects &Out);

  [[nodiscard]] horizon horizonAt(time_point Now) const noexcept;
  /** @brief True if all replicas hold this ledger and are enough. */
  [[nodiscard]] bool ready() const noexcept;
  [[nodiscard]] std::size_t size() const noexcept { return Table.size(); }
  [[nodiscard]] std::size_t bytes() const noexcept { return Table.bytes(); }

private:
  struct replica_link {
    node_id Node{};
    std::uint64_t SyncCall{};
    /** Slots of the table that the chunk under way covers. */
    std::size_t Begin{};
    std::size_t Cursor{};
    /** Entries of the chunk under way, with their revision's sequence. */
    std::vector<std::pair<std::uint32_t, std::uint64_t>> Chunk;
    bool MarkerSent{};
    bool Synced{};
  };

  void addEntry(submission Submission, bool Ran, time_point Now, effects &Out);
  void answerAll(detail::entry &Entry, outcome Outcome, effects &Out);
  void replay(const detail::entry &Entry, waiter Waiter, effects &Out) const;
  [[nodiscard]] bool mayHaveRun(const request_key &Key, bool Idempotent,
                                instant At) const;

  void requeue(detail::entry &Entry, effects &Out);
  void finish(detail::entry &Entry, entry_state State, shared_text Result,
              time_point Now, effects &Out);
  void withdraw(detail::entry &Entry, refusal Reason, instant At, effects &Out);
  void finishWithdrawal(detail::entry &Entry, time_point Now, effects &Out);
  void release(detail::entry &Entry, bool Certain, effects &Out);
  void dispatchNow(detail::entry &Entry, effects &Out);

  [[nodiscard]] entry_record recordOf(const detail::entry &Entry) const;
  [[nodiscard]] static bool replicable(const detail::entry &Entry) noexcept;
  void push(detail::entry &Entry, effects &Out);
  void send(const detail::entry &Entry, node_id To, effects &Out) const;
  void forgetPending(detail::entry &Entry);
  void erase(detail::entry &Entry);
  [[nodiscard]] duration remembered() const noexcept {
    return rememberedFor(Settings.Retention, Settings.ClockSkew);
  }
  [[nodiscard]] bool allSynced() const noexcept;
  void recordNotRun(detail::entry &Entry, std::vector<entry_record> &Records);
  void chunkAcknowledged(std::size_t Bit, instant At, effects &Out);
  void sendChunk(replica_link &Replica, effects &Out);
  void recordAcknowledged(detail::entry &Entry, std::size_t Bit, instant At,
                          effects &Out);
  void stepDone(detail::entry &Entry, instant At, effects &Out);
  void becameReady(instant At, effects &Out);

  ledger_settings Settings;
  detail::entry_table Table;
  log_offset Version{};
  std::vector<replica_link> Replicas;
  /** Newest records under way: sequence to entry. */
  std::unordered_map<std::uint64_t, std::uint32_t> Pending;
  std::uint64_t Sequence{};
  /** Latest time passed in; remaining retentions are computed from it. */
  time_point LastNow;
  time_point UnknownUntil;
  wall_ms FreshAfter{};
  time_point IdempotentUnknownUntil;
  wall_ms IdempotentFreshAfter{};
  bool Retired{};
};

} // namespace galenalink::request

#endif
