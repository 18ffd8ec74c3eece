#ifndef GALENALINK_NODE_STATE_RECOVERY_HPP
#define GALENALINK_NODE_STATE_RECOVERY_HPP

#include "galenalink/fleet/assembly.hpp"
#include "galenalink/http/loop.hpp"
#include "galenalink/platform/adapter.hpp"
#include "galenalink/wire/fwd.hpp"
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace galenalink::wire {
class state_reply;
} // namespace galenalink::wire

namespace galenalink::node {

struct recovery_hooks {
  /** Asks all connected nodes for their state. */
  std::function<void()> AskPeers;
  /** Offset through which this node has folded. */
  std::function<log_offset()> Folded;
  /** A state that is folded further than this node's own. */
  std::function<void(fleet::restored)> Restored;
};

/**
 * @brief Finds a state to start from when the next record has expired, or
 * when the log does not answer: the newest snapshot in the log that the
 * remaining records continue, or the state of a peer.
 */
class state_recovery {
public:
  state_recovery(const platform::adapter &Adapter, fleet::parse_hook Parse,
                 recovery_hooks Hooks);

  /**
   * @brief Looks for a snapshot in the log, then asks the peers.
   * @param First Oldest offset that the log keeps.
   */
  void start(log_offset First);
  /** @brief Asks the peers only. */
  void askPeers(time_point Now);
  /** @brief Takes a part of a peer's state. */
  void receive(node_id From, const wire::state_reply &Part);
  [[nodiscard]] bool running() const noexcept { return Running; }

private:
  void read(log_offset From);
  void received(const platform::outcome_of<platform::log_page> &Answer);
  void finish();
  void offer(fleet::restored Restored);

  const platform::adapter &Adapter;
  fleet::parse_hook Parse;
  recovery_hooks Hooks;
  bool Running{false};
  log_offset First{0};
  log_offset Next{0};
  fleet::assembly Assembly;
  time_point AskAgainAt{NoDeadline};
  /** Parts of the peers' states, in order. */
  std::map<node_id, std::string> Parts;
  std::shared_ptr<bool> Alive;
};

} // namespace galenalink::node

#endif
