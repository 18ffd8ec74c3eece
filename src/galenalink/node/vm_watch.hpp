#ifndef GALENALINK_NODE_VM_WATCH_HPP
#define GALENALINK_NODE_VM_WATCH_HPP

#include "galenalink/fleet/rights.hpp"
#include "galenalink/node/log_follower.hpp"
#include "galenalink/platform/adapter.hpp"
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace galenalink::node {

/**
 * @brief Differences between the platform's VM list and the fleet state, as
 * records to append. VMs of pools that are not configured are left out.
 * @param Limit Most records returned.
 */
[[nodiscard]] std::vector<wire::record>
compareVms(const fleet::state &State, const std::vector<platform::vm> &Listed,
           std::size_t Limit);

/**
 * @brief Reads the platform's VM list. Every node uses it as evidence that a
 * VM leaves; the first node in rank brings changes into the log.
 */
class vm_watch {
public:
  vm_watch(const fleet::node_view &View, const platform::adapter &Adapter,
           log_follower &Log, std::function<void(const std::string &)> Leaving);

  void poll();
  /** @brief Listed VMs of a pool, wherever they are now. */
  [[nodiscard]] std::uint32_t homeVms(const std::string &Pool) const;

private:
  void received(const std::vector<platform::vm> &Listed);

  const fleet::node_view &View;
  const platform::adapter &Adapter;
  log_follower &Log;
  std::function<void(const std::string &)> Leaving;
  bool Asking{false};
  std::size_t Appending{0};
  /** Listed VMs by their listed pool. */
  std::map<std::string, std::uint32_t> InitialVms;
  std::shared_ptr<bool> Alive;
};

} // namespace galenalink::node

#endif
