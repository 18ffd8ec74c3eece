#ifndef GALENALINK_NODE_VM_DUTIES_HPP
#define GALENALINK_NODE_VM_DUTIES_HPP

#include "galenalink/fleet/rights.hpp"
#include "galenalink/node/log_follower.hpp"
#include "galenalink/platform/adapter.hpp"
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace galenalink::node {

/** @brief What the duties ask of the rest of the node. */
struct vm_duty_hooks {
  /** Attempts on a VM that this node placed and that have not ended. */
  std::function<std::size_t(const std::string &Vm)> RunningOn;
  /**
   * When the VM was last asked for its status and reported that nothing runs;
   * nothing if it reported work, or nothing yet.
   */
  std::function<std::optional<time_point>(const std::string &Vm)> IdleAt;
  std::function<void(std::string_view Subject, std::string Text)> Decided;
};

/**
 * @brief Brings moves and maintenance of VMs forward, one log record at a
 * time. Every step can be taken by any node that has the right to it, so that
 * none stays half way when a node is lost.
 */
class vm_duties {
public:
  vm_duties(const fleet::node_view &View, const platform::adapter &Adapter,
            log_follower &Log, vm_duty_hooks Hooks);

  void tick(time_point Now);

private:
  /** Offset of a VM's step, and when this node saw it first. */
  struct waiting {
    log_offset Step{0};
    time_point SeenAt;
  };

  void advance(fleet::vm_index Index, time_point Now);
  void reportDrained(fleet::vm_index Index, time_point Now);
  void take(fleet::vm_index Index, time_point Now);
  void startReboot(fleet::vm_index Index, time_point Now);
  void followReboot(fleet::vm_index Index, time_point Now);
  void askForReboot(const std::string &Vm, std::uint64_t Action);
  void finish(const fleet::vm &Vm, platform::action_state State,
              time_point Now);
  [[nodiscard]] time_point since(const fleet::vm &Vm, log_offset Step,
                                 time_point Now);
  [[nodiscard]] bool idle(const fleet::vm &Vm, log_offset Step, time_point Now);
  void append(wire::record Record, const std::string &Vm, std::string Text,
              time_point Now);

  const fleet::node_view &View;
  const platform::adapter &Adapter;
  log_follower &Log;
  vm_duty_hooks Hooks;
  std::map<std::string, waiting> Waiting;
  /** VMs with a record or a platform call under way. */
  std::map<std::string, time_point> Busy;
  std::shared_ptr<bool> Alive;
};

} // namespace galenalink::node

#endif
