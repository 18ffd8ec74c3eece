#ifndef GALENALINK_TEST_REQUEST_MESSAGE_BAG_HPP
#define GALENALINK_TEST_REQUEST_MESSAGE_BAG_HPP

#include "galenalink/core/rendezvous.hpp"
#include "galenalink/request/takeover.hpp"
#include <algorithm>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <unordered_set>

namespace galenalink::request::test {

struct bag_options {
  std::uint64_t Seed{1};
  std::size_t Replicas{2};
  std::size_t Nodes{7};
  /** Steps are acknowledged without reaching a replica. */
  bool AcknowledgeUnsent{false};
  /** Keys are UUID version 7 and outlive the retention. */
  bool Timed{false};
  /** Kills until the shard is ready again; more is chaos. */
  std::size_t MaxKills{2};
  /** Random loss, delay, refusals and pauses. */
  bool Faults{true};
};

/** One shard's state machines on a few nodes, and messages in any order. */
class message_bag {
public:
  struct tracked_key {
    request_key Key;
    std::string Body;
    bool Idempotent{};
    bool LongWork{};
    bool HandleGiven{};
    /** A refusal or cancellation was asked for. */
    bool Refused{};
    std::size_t Runs{};
    /** Dispatches that may still start or are not known to be refused. */
    std::size_t Outstanding{};
    /** Attempts of which a record may have reached a replica. */
    std::size_t Prepared{};
    /** Submissions that were not told "not run". */
    std::size_t OpenCalls{};
  };

  explicit message_bag(bag_options Options);

  void step();
  /** Runs without new faults until the shard is idle, then checks handles. */
  void settle();
  /** Submits a new key to the home. @return its index in `Keys`. */
  std::size_t submitNew(bool Idempotent, bool LongWork);
  void kill(std::size_t Node);
  void deliverAll(std::size_t Limit);
  void schedule();
  /** Evicts dead nodes and lets all nodes fold and take over. */
  void recover();
  void reconcile();
  [[nodiscard]] ledger *home();
  [[nodiscard]] std::vector<std::size_t> membersInOrder() const;
  [[nodiscard]] instant at(std::size_t Node) const;
  /** State of a key at the home; nothing if it is treated as new. */
  [[nodiscard]] std::optional<entry_state> stateOf(std::size_t Key);
  [[nodiscard]] std::optional<entry_state> stateOf(const request_key &Key);

  /** Backend servers' answers stay under way, as if the network hung. */
  bool HoldReports{false};
  std::vector<tracked_key> Keys;
  std::vector<std::string> Violations;
  std::size_t Takeovers{};
  std::size_t TakeoversWithoutEvidence{};
  std::size_t Runs{};
  std::size_t Kills{};

private:
  struct roster_version {
    roster_step Step;
    std::vector<std::size_t> Members;
    time_point AppendedAt;
  };
  struct node {
    node_id Id{};
    std::size_t Place{};
    bool Alive{true};
    time_point PausedUntil;
    time_point AuthorityDeadline;
    /** Index of the newest version folded. */
    std::size_t Folded{};
    replica Copy;
    std::unique_ptr<ledger> Home;
    std::unique_ptr<takeover> Takeover;
    std::list<ledger> Retired;
    std::vector<entry_handle> Queue;
    std::uint64_t Attempts{};
  };
  enum class report_kind : std::uint8_t { Answer, Failed, Refused, Lost };
  struct collect_call {
    std::size_t From;
    log_offset Version;
  };
  struct run_call {
    std::size_t Key;
    attempt_id Attempt;
  };
  struct report {
    report_kind Kind;
    attempt_id Attempt;
    std::string Result;
  };
  using payload = std::variant<replicate, replicate_reply, collect_call,
                               collect_reply, run_call, report>;
  struct message {
    std::size_t To;
    payload Payload;
  };
  struct call {
    std::size_t Key;
    bool Told{};
  };

  [[nodiscard]] std::size_t random(const std::size_t Bound) {
    return Random() % Bound;
  }
  [[nodiscard]] bool chance(const std::size_t Percent) {
    return Options.Faults && random(100) < Percent;
  }
  [[nodiscard]] std::size_t indexOf(node_id Id) const;
  [[nodiscard]] bool able(const node &Node) const {
    return Node.Alive && Now >= Node.PausedUntil;
  }
  [[nodiscard]] std::vector<std::size_t> ranked(const roster_version &) const;
  [[nodiscard]] bool barrier(std::size_t Version) const;
  [[nodiscard]] std::string newKey();
  void join();
  void evict(std::size_t Node);
  void append(std::vector<std::size_t> Members);
  void fold(std::size_t Node);
  void advanceTakeover(std::size_t Node, bool Repeat);
  void advance(duration Time);
  void submit(std::size_t Key, std::size_t Node);
  void prepareOne(std::size_t Node);
  void deliverOne();
  void deliver(message Message);
  void start(std::size_t Home, const run_call &Run);
  void apply(std::size_t Node, effects &Out);
  void told(const answer &Answer);
  void resend(std::size_t Node, bool All);
  void checkHandles();
  [[nodiscard]] bool settled();
  void violate(std::string What, std::size_t Key);
  void changeNodes();
  void callerStep(std::size_t Node);
  void homeStep(std::size_t Node);

  bag_options Options;
  std::mt19937_64 Random;
  ledger_settings Settings;
  time_point Now{std::chrono::seconds{1000}};
  std::vector<node> Nodes;
  std::vector<roster_version> Versions;
  std::vector<message> Bag;
  std::vector<message> Held;
  std::vector<call> Calls;
  std::map<request_key, std::size_t> KeyIndex;
  std::unordered_map<attempt_id, report, attempt_hash> Finished;
  std::unordered_set<attempt_id, attempt_hash> Released;
  std::size_t RecentKills{};
};

} // namespace galenalink::request::test

#endif
