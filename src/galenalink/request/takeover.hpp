#ifndef GALENALINK_REQUEST_TAKEOVER_HPP
#define GALENALINK_REQUEST_TAKEOVER_HPP

#include "galenalink/request/ledger.hpp"
#include "galenalink/request/replica.hpp"
#include <unordered_map>
#include <vector>

namespace galenalink::request {

struct takeover_settings {
  duration Retention{std::chrono::hours{1}};
  duration ClockSkew{std::chrono::seconds{2}};
};

/** @brief The contents of a new home's ledger. */
struct takeover_result {
  /** States are resolved: none is `Dispatched`. Rising `ExpiresIn`. */
  std::vector<entry_record> Entries;
  /** Zero if the entries list all that may have run. */
  horizon Horizon;
  /** Keys of idempotent work that may have run, listed or not. */
  horizon IdempotentHorizon;
  bool Evidence{};
};

/**
 * @brief Collects a shard's entries at its new home. Starts after the barrier
 * of the roster version, so that no former home can still dispatch.
 */
class takeover {
public:
  /**
   * @param Step Version at which this node became home.
   * @param Roster All members of that version, including this node.
   * @param GraceDeadline From then on, evidence from some nodes is enough.
   * @param GiveUpDeadline From then on, nodes without a reply are left out.
   */
  takeover(takeover_settings Settings, roster_step Step,
           std::vector<node_id> Roster, time_point GraceDeadline,
           time_point GiveUpDeadline);

  /** @brief Takes a reply; one of another version or node is ignored. */
  void replied(collect_reply Reply);
  /** @brief Members that have not replied; they may be asked again. */
  [[nodiscard]] std::vector<node_id> missing() const;
  [[nodiscard]] bool finished(time_point Now) const;
  [[nodiscard]] takeover_result resolve(instant At) const;

private:
  /** @brief Where the search for the last complete copy ended. */
  struct evidence {
    bool Found{};
    /** Version of the complete copies; 0 if no version preceded. */
    log_offset Version{};
  };
  using entries =
      std::unordered_map<request_key, entry_record, request_key_hash>;

  [[nodiscard]] evidence findEvidence() const;
  [[nodiscard]] entries merge(evidence Evidence) const;
  void addResults(entries &Merged) const;

  takeover_settings Settings;
  roster_step Step;
  std::vector<node_id> Roster;
  time_point GraceDeadline;
  time_point GiveUpDeadline;
  std::vector<collect_reply> Replies;
};

/**
 * @brief Makes the ledger of a new home; `ledger::rosterChanged` follows with
 * the replicas of the same version.
 */
[[nodiscard]] ledger makeLedger(ledger_settings Settings, log_offset Version,
                                takeover_result Result, time_point Now,
                                effects &Out);

} // namespace galenalink::request

#endif
