#ifndef GALENALINK_NODE_SHARD_HOST_HPP
#define GALENALINK_NODE_SHARD_HOST_HPP

#include "galenalink/account/totals.hpp"
#include "galenalink/fleet/rights.hpp"
#include "galenalink/node/call.hpp"
#include "galenalink/node/catalog.hpp"
#include "galenalink/node/shard.hpp"
#include "galenalink/request/replica.hpp"
#include "galenalink/request/takeover.hpp"
#include "galenalink/wire/fwd.hpp"
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace galenalink::wire {
class replicate;
class replicate_reply;
class collect;
class collect_reply;
} // namespace galenalink::wire

namespace galenalink::node {

struct host_settings {
  request::ledger_settings Ledger;
  request::replica_settings Replica;
  request::takeover_settings Takeover;
};

struct host_hooks {
  /** Sends to another node; false if it is not connected or its queue is
   * full. */
  std::function<bool(node_id, const wire::peer_message &)> Send;
  /** Sends an attempt to its backend server. */
  std::function<void(const std::shared_ptr<shard> &, const request::dispatch &)>
      Dispatch;
  std::function<void(const std::shared_ptr<shard> &,
                     const request::stop_attempt &)>
      Stop;
  std::function<void(std::string_view Subject, std::string Text)> Decided;
  std::function<void(const std::string &Queue, duration Wait)> Waited;
  /** Work of a customer in a pool was placed, refused or late. */
  std::function<void(const std::string &Customer, const std::string &Pool,
                     const account::work_counts &)>
      Worked;
  /** A shard got a home here; its VMs' status is to be asked for. */
  std::function<void(const shard_id &)> Adopted;
};

/**
 * @brief Holds the shards of which this node is home, and its copies of the
 * shards of which it is, or was, home or replica.
 */
class shard_host {
public:
  /** @param View What the node knows; outlives the host. */
  shard_host(const fleet::node_view &View, const catalog &Catalog,
             host_settings Settings, host_hooks Hooks);

  /** @brief Follows the state after each folded record. */
  void follow(time_point Now);
  void tick(time_point Now);

  // Requests of callers that arrived at the home.
  void submit(const shard_id &Shard, const call &Call,
              const config::queue &Queue, reply_hook Done);
  void cancel(const shard_id &Shard, const call &Call, reply_hook Done);
  void query(const shard_id &Shard, const call &Call, const reply_hook &Done);

  // Messages of other nodes.
  void receive(node_id From, const wire::replicate &Message);
  void receive(node_id From, const wire::replicate_reply &Message);
  void receive(node_id From, const wire::collect &Message);
  void receive(node_id From, const wire::collect_reply &Message);
  /** @brief Repeats what a node that connected again may have missed. */
  void connected(node_id Node);

  /**
   * @brief A VM is said to leave; it gets no new work until this has not been
   * repeated for a while.
   * @param FirstHand Said by the VM list or the VM's own answer, not by a peer.
   */
  void leaving(const std::string &Vm, bool FirstHand);
  /**
   * @brief Gives up all shards and refuses new requests. Queued requests are
   * answered as not run, running ones are awaited.
   */
  void retireAll(time_point Now);
  /** @brief Callers that wait for an answer of a shard here. */
  [[nodiscard]] std::size_t waiting() const noexcept { return Waiters.size(); }

  /** @brief The shard, if this node is its home and has taken over. */
  [[nodiscard]] std::shared_ptr<shard> find(const shard_id &Shard) const;
  [[nodiscard]] const std::map<shard_id, std::shared_ptr<shard>> &
  shards() const noexcept {
    return Homes;
  }
  /** @brief Attempts that run and whose answer is awaited here. */
  [[nodiscard]] std::size_t running() const;
  /** @brief Attempts that run on a VM, by what this node dispatched. */
  [[nodiscard]] std::size_t runningOn(const std::string &Vm) const;
  /** @brief VMs that this node itself saw leaving, for its peers. */
  [[nodiscard]] std::vector<std::string> leavingVms(std::size_t Limit) const;
  [[nodiscard]] std::size_t takeovers() const noexcept {
    return Takeovers.size();
  }

private:
  struct pending_takeover {
    request::roster_step Step;
    /** Set once the barrier is reached. */
    std::unique_ptr<request::takeover> Takeover;
    std::map<node_id, request::collect_reply> Parts;
    time_point AskAgainAt{NoDeadline};
  };

  void followShard(const shard_id &Id, fleet::pool_index Pool,
                   request::roster_step Step, bool RosterChanged,
                   time_point Now);
  void retire(const shard_id &Id, time_point Now);
  /** @brief Sends again what replicas refused. */
  void resendRefused(time_point Now);
  void advance(const shard_id &Id, pending_takeover &Pending, time_point Now);
  void collect(const shard_id &Id, pending_takeover &Pending, time_point Now);
  void becomeHome(const shard_id &Id, pending_takeover &Pending,
                  time_point Now);
  void refresh(const std::shared_ptr<shard> &Shard);
  [[nodiscard]] shard_hooks hooksFor(const shard_id &Id);
  [[nodiscard]] std::vector<node_id> replicasOf(const shard_id &Id) const;
  [[nodiscard]] request::replica &replicaOf(const shard_id &Id);
  [[nodiscard]] request::instant instant() const;
  [[nodiscard]] request::waiter await(reply_hook Done);
  void countEnd(const shard_id &Shard, const std::string &Customer,
                time_point Deadline, const reply &Reply);
  void answer(const request::answer &Answer);

  const fleet::node_view &View;
  const catalog &Catalog;
  host_settings Settings;
  host_hooks Hooks;
  bool Stopping{false};
  log_offset RosterVersion{0};
  log_offset CatalogVersion{0};
  log_offset RefreshedAt{0};
  time_point NextRefresh{NoDeadline};
  /** Replicas that refused a record of a shard at home here. */
  std::map<shard_id, std::set<node_id>> Refused;
  time_point NextResend{NoDeadline};
  std::uint64_t LastAttempt{0};
  request::waiter LastWaiter{0};
  std::map<request::waiter, reply_hook> Waiters;
  std::map<shard_id, std::shared_ptr<shard>> Homes;
  std::vector<std::shared_ptr<shard>> Retired;
  std::map<shard_id, request::replica> Replicas;
  std::map<shard_id, pending_takeover> Takeovers;
  struct leaving_mark {
    time_point Deadline;
    time_point FirstHandUntil{NoDeadline};
  };
  std::map<std::string, leaving_mark, std::less<>> Leaving;
};

} // namespace galenalink::node

#endif
