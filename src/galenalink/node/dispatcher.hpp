#ifndef GALENALINK_NODE_DISPATCHER_HPP
#define GALENALINK_NODE_DISPATCHER_HPP

#include "galenalink/fleet/rights.hpp"
#include "galenalink/node/backend.hpp"
#include "galenalink/node/catalog.hpp"
#include "galenalink/node/shard.hpp"
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace galenalink::node {

struct dispatcher_hooks {
  std::function<void(const std::string &Vm)> Leaving;
  std::function<void(std::string_view Subject, std::string Text)> Decided;
  std::function<void(run_end)> Ended;
};

/** @brief Carries attempts to backend servers and their answers back. */
class dispatcher {
public:
  /** @param View What the node knows; outlives the dispatcher. */
  dispatcher(const fleet::node_view &View, const catalog &Catalog,
             backend &Backend, dispatcher_hooks Hooks);

  void run(const std::shared_ptr<shard> &Shard,
           const request::dispatch &Dispatch);
  void stop(const request::stop_attempt &Stop);
  /** @brief Asks each VM of a shard for its status. */
  void poll(const std::shared_ptr<shard> &Shard);

  /** @brief When a VM was asked for its status and reported no work. */
  [[nodiscard]] std::optional<time_point> idleAt(const std::string &Vm) const;

private:
  void ended(const std::shared_ptr<shard> &Shard, attempt_id Attempt,
             const std::string &Vm, const run_result &Result);
  void reported(const std::shared_ptr<shard> &Shard, const std::string &Vm,
                time_point AskedAt, const backend_status &Status);
  [[nodiscard]] std::optional<http::address>
  addressOf(const std::string &Vm) const;
  [[nodiscard]] duration runLimit(std::string_view QualifiedQueue) const;

  const fleet::node_view &View;
  const catalog &Catalog;
  backend &Backend;
  dispatcher_hooks Hooks;
  /** VMs whose status was asked for and has not come. */
  std::set<std::string> Asked;
  std::map<std::string, time_point> IdleAt;
};

} // namespace galenalink::node

#endif
