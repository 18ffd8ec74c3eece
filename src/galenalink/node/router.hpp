#ifndef GALENALINK_NODE_ROUTER_HPP
#define GALENALINK_NODE_ROUTER_HPP

#include "galenalink/fleet/rights.hpp"
#include "galenalink/http/loop.hpp"
#include "galenalink/node/call.hpp"
#include "galenalink/node/catalog.hpp"
#include "galenalink/node/shard_host.hpp"
#include <functional>
#include <map>
#include <memory>

namespace galenalink::wire {
class forward;
class forward_reply;
} // namespace galenalink::wire

namespace galenalink::node {

struct router_hooks {
  std::function<bool(node_id, const wire::peer_message &)> Send;
  std::function<void(std::string_view Subject, std::string Text)> Decided;
};

/**
 * @brief Brings callers' requests to the home of their shard, here or at
 * another node, and the answers back.
 *
 * A request that was forwarded and not answered is forwarded again, with the
 * same key; the ledger at the home makes that safe. Only the home may say
 * that a forwarded request was not run.
 */
class router {
public:
  router(const fleet::node_view &View, const catalog &Catalog, shard_host &Host,
         router_hooks Hooks);

  /** @brief Takes a request of a caller; `Done` is called once. */
  void route(call Call, reply_hook Done);

  void receive(node_id From, const wire::forward &Message);
  void receive(node_id From, const wire::forward_reply &Message);
  /** @brief Forwards again what a lost node did not answer. */
  void disconnected(node_id Node);
  /**
   * @brief New requests are refused from now on.
   * @param Alone No other node can take over, so that requests without a home
   * are refused at once.
   */
  void stop(bool Alone);
  /** @brief Answers all calls: what was not sent as not run, else unknown. */
  void abandon();
  /** @brief Retries what is due and ends what is late. */
  void tick(time_point Now);

  /** @brief Calls that have no answer yet. */
  [[nodiscard]] std::size_t pending() const noexcept { return Pending.size(); }

private:
  struct pending_call {
    call Call;
    reply_hook Done;
    /** Node that has the forwarded call. */
    std::optional<node_id> Target;
    time_point RetryAt{NoDeadline};
    /** A forward was sent and not answered. */
    bool MayHaveRun{false};
    /** The connection broke before a forward was answered. Another node's
     * refusal for want of a home then says nothing about that forward. */
    bool Lost{false};
    refusal LastRefusal{refusal::NoAuthority};
  };

  void attempt(std::uint64_t Id);
  void local(const call &Call, reply_hook Done);
  void replied(std::uint64_t Id, reply Reply);
  void finish(std::uint64_t Id, reply Reply);
  /** @brief Ends a call without an answer of its home. */
  void giveUp(std::uint64_t Id);
  [[nodiscard]] std::optional<reply> check(const call &Call) const;
  [[nodiscard]] std::optional<node_id> homeOf(const shard_id &Shard) const;
  [[nodiscard]] shard_id shardFor(const call &Call) const;

  const fleet::node_view &View;
  const catalog &Catalog;
  shard_host &Host;
  router_hooks Hooks;
  bool Stopping{false};
  bool Alone{false};
  std::uint64_t LastId{0};
  std::map<std::uint64_t, pending_call> Pending;
};

} // namespace galenalink::node

#endif
