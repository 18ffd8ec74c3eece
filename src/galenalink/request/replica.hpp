#ifndef GALENALINK_REQUEST_REPLICA_HPP
#define GALENALINK_REQUEST_REPLICA_HPP

#include "galenalink/request/effects.hpp"
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace galenalink::request {

struct replica_settings {
  std::size_t MaxEntries{100'000};
  /** Bytes of keys, bodies and results at which records are refused. */
  std::size_t MaxBytes{std::size_t{64} << 20U};
  /** How long a node that is no member keeps entries without outcome. */
  duration Retention{std::chrono::hours{1}};
};

/** @brief A roster version and the one before it; 0 before the first. */
struct roster_step {
  log_offset Version{};
  log_offset Previous{};

  [[nodiscard]] bool operator==(const roster_step &) const = default;
};

/** @brief What a node knows of a shard, for its new home. */
struct collect_reply {
  node_id From{};
  log_offset Version{};
  /**
   * Roster version of which the entries are complete: every non-idempotent
   * dispatch up to then is listed. 0 when there is none.
   */
  log_offset SyncedAt{};
  /**
   * Versions in which this node was home or replica and in which nothing that
   * is not idempotent was dispatched, because this node did not get ready.
   */
  std::vector<roster_step> Quiet;
  horizon Horizon;
  std::vector<entry_record> Entries;
};

/**
 * @brief A node's copy of a shard's ledger. Every node has one for each shard
 * of which it is, or was, home or replica.
 */
class replica {
public:
  replica(node_id Self, replica_settings Settings)
      : Self(Self), Settings(Settings) {}

  /**
   * @brief Follows the roster; called for every version that is folded.
   * @param Member Whether this node is home or replica in the new version.
   */
  void rosterChanged(roster_step Step, bool Member);
  /** @brief Stores records; refuses those of another roster version. */
  [[nodiscard]] replicate_reply store(replicate Message, time_point Now);
  /** @brief Nothing unless this node has folded exactly that version. */
  [[nodiscard]] std::optional<collect_reply> collect(log_offset Version,
                                                     time_point Now) const;
  /** @brief A takeover has finished here; the ledger replaces this copy. */
  void becameHome();
  /** @brief Takes what `ledger::retire` returned, before `rosterChanged`. */
  void adopt(std::vector<entry_record> Records, horizon Horizon,
             time_point Now);
  void tick(time_point Now);

  [[nodiscard]] std::size_t size() const noexcept { return Entries.size(); }
  [[nodiscard]] std::size_t bytes() const noexcept { return Bytes; }

private:
  struct stored {
    entry_record Record;
    time_point ExpiresAt;
    log_offset WrittenIn{};
  };
  using table = std::unordered_map<request_key, stored, request_key_hash>;

  [[nodiscard]] bool put(entry_record Record, time_point Now);
  void erase(table::iterator Entry);
  void eraseOlder();

  node_id Self;
  replica_settings Settings;
  roster_step Step;
  bool Member{};
  /** The ledger of this node is the authority; this copy is empty. */
  bool LedgerActive{};
  log_offset SyncedAt{};
  std::deque<roster_step> Quiet;
  time_point UnknownUntil;
  wall_ms FreshAfter{};
  table Entries;
  std::set<std::pair<time_point, const request_key *>> Expiry;
  std::size_t Bytes{};
};

} // namespace galenalink::request

#endif
