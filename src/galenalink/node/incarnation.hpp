#ifndef GALENALINK_NODE_INCARNATION_HPP
#define GALENALINK_NODE_INCARNATION_HPP

#include "galenalink/config/settings.hpp"
#include "galenalink/fleet/rights.hpp"
#include "galenalink/node/account_keeper.hpp"
#include "galenalink/node/backend.hpp"
#include "galenalink/node/catalog.hpp"
#include "galenalink/node/decision_log.hpp"
#include "galenalink/node/dispatcher.hpp"
#include "galenalink/node/log_follower.hpp"
#include "galenalink/node/membership.hpp"
#include "galenalink/node/planner.hpp"
#include "galenalink/node/router.hpp"
#include "galenalink/node/shard_host.hpp"
#include "galenalink/node/snapshot_duty.hpp"
#include "galenalink/node/state_recovery.hpp"
#include "galenalink/node/vm_duties.hpp"
#include "galenalink/node/vm_watch.hpp"
#include "galenalink/node/work_report.hpp"
#include "galenalink/telemetry/metrics.hpp"
#include <memory>
#include <set>

namespace galenalink::wire {
class heartbeat;
} // namespace galenalink::wire

namespace galenalink::node {

/** @brief What outlives an incarnation. */
struct environment {
  http::loop &Loop;
  const config::settings &Settings;
  const platform::adapter &Adapter;
  backend &Backend;
  telemetry::metrics &Metrics;
  decision_log &Decisions;
};

/**
 * @brief One membership of the process on the roster, from a join to an
 * eviction or a leave. Everything that is bound to the node id is in here.
 */
class incarnation {
public:
  using send_hook = std::function<bool(node_id, const wire::peer_message &)>;

  incarnation(const environment &Environment, node_description Self,
              const send_hook &Send);
  ~incarnation();
  incarnation(const incarnation &) = delete;
  incarnation &operator=(const incarnation &) = delete;

  void start();

  // Events of the peer connections.
  void connected(node_id Node);
  void disconnected(node_id Node);
  void received(node_id From, const wire::peer_message &Message);
  /** @brief Content of the next heartbeat. */
  [[nodiscard]] wire::heartbeat heartbeat() const;
  /** @brief Offset to answer heartbeats with; nothing after leaving. */
  [[nodiscard]] std::optional<log_offset> answerOffset() const noexcept;
  /** @brief A peer answered a heartbeat sent at `SentAt`. */
  void answered(node_id Peer, time_point SentAt, log_offset Folded);
  /** @brief A heartbeat of a peer showed its folded offset. */
  void heard(node_id Peer, log_offset Folded);

  /**
   * @brief Hands queued work over, or refuses it as not run, and leaves the
   * roster.
   */
  void stop(time_point Deadline);
  /** @brief Answers all waiting callers before the incarnation is dropped. */
  void abandon();
  /** @brief Whether no caller waits for an answer from here. */
  [[nodiscard]] bool idle() const noexcept;
  [[nodiscard]] bool evicted() const noexcept { return Membership.evicted(); }
  /**
   * @brief Whether the services are known here: the node is, or was, on the
   * roster, or has a peer's state while the log is out.
   */
  [[nodiscard]] bool ready() const noexcept {
    return Stopping || FromPeer || Membership.joined();
  }
  /** @brief Whether callers may be sent here. */
  [[nodiscard]] bool serving() const noexcept;

  [[nodiscard]] node_id self() const noexcept { return View.Self; }
  [[nodiscard]] const fleet::node_view &view() const noexcept { return View; }
  [[nodiscard]] fleet::state &state() noexcept { return State; }
  [[nodiscard]] const node::catalog &catalog() const noexcept {
    return Catalog;
  }
  [[nodiscard]] node::router &router() noexcept { return Router; }
  [[nodiscard]] shard_host &host() noexcept { return Host; }
  [[nodiscard]] log_follower &log() noexcept { return Log; }
  [[nodiscard]] const account_keeper &accounts() const noexcept {
    return Accounts;
  }

private:
  [[nodiscard]] follower_hooks followerHooks();
  [[nodiscard]] host_hooks hostHooks(const send_hook &Send);
  [[nodiscard]] dispatcher_hooks dispatcherHooks();
  [[nodiscard]] vm_duty_hooks dutyHooks();
  [[nodiscard]] recovery_hooks recoveryHooks();
  void folded();
  void restored(fleet::restored Restored);
  void askPeersForState();
  void sendState(node_id To);
  void tick();
  void poll();
  void observe();
  /** @brief Samples the demand of the shards at home here. */
  void measureDemand(time_point Now);
  void decide(std::string_view Subject, std::string Text);

  environment Environment;
  node_description Self;
  fleet::state State;
  account_keeper Accounts;
  fleet::authority Authority;
  fleet::barrier Barrier;
  fleet::shard_map Shards;
  fleet::node_view View;
  node::catalog Catalog;
  log_follower Log;
  work_report Work;
  shard_host Host;
  node::router Router;
  dispatcher Dispatcher;
  membership Membership;
  vm_watch Vms;
  vm_duties Duties;
  snapshot_duty Snapshots;
  planner Planner;
  state_recovery Recovery;
  /** Nodes with an open connection. */
  std::set<node_id> Connected;
  send_hook Send;
  time_point StartedAt;
  bool FromPeer{false};
  time_point DemandAt{NoDeadline};
  /** Newest demand of the shards at home here. */
  std::vector<demand_report> OwnDemand;
  http::timer VmPoller;
  http::timer Ticker;
  http::timer Poller;
  bool Stopping{false};
  /** The log took the record of the leave, or it was given up. */
  bool Left{false};
};

} // namespace galenalink::node

#endif
