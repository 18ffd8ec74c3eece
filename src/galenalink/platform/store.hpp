#ifndef GALENALINK_PLATFORM_STORE_HPP
#define GALENALINK_PLATFORM_STORE_HPP

#include "galenalink/core/time.hpp"
#include "galenalink/platform/adapter.hpp"
#include <cstddef>
#include <deque>
#include <map>
#include <string_view>
#include <unordered_map>

namespace galenalink::platform {

/**
 * @brief Log, VM list and actions in memory. Time is an argument. Appending
 * the same record twice stores it twice, as a log does.
 */
class store {
public:
  struct options {
    /** Older records expire; the bound of the memory used. */
    std::size_t MaxRecords{200000};
    std::size_t MaxActions{10000};
    duration RebootTime{std::chrono::seconds{2}};
  };

  explicit store(options Options, std::vector<vm> Vms = {});

  log_offset append(std::string Data);
  [[nodiscard]] log_page read(log_offset From, std::size_t Max) const;
  /** @brief Drops all records before the offset. */
  void expire(log_offset Before);

  /** @return VMs in the order of their names. */
  [[nodiscard]] std::vector<vm> vms(time_point Now);
  /** @return Whether the VM is known. */
  bool setState(std::string_view Vm, vm_state State);
  /** @brief Adds a VM or replaces it. */
  void put(vm Vm);
  void remove(std::string_view Vm);

  /** @return Whether the VM is known; an id seen before changes nothing. */
  bool reboot(std::string_view Vm, std::uint64_t Action, time_point Now);
  bool drain(std::string_view Vm, std::uint64_t Action, time_point Now);
  [[nodiscard]] action_state action(std::uint64_t Action, time_point Now);
  /** @return Reboots that were started, each id counted once. */
  [[nodiscard]] std::uint64_t reboots(std::string_view Vm) const;

private:
  struct running_action {
    std::uint64_t Action{0};
    std::string Vm;
    time_point Ends;
  };

  [[nodiscard]] bool start(std::uint64_t Action);
  void settle(time_point Now);

  options Options;
  log_offset First{1};
  std::deque<std::string> Records;
  std::map<std::string, vm, std::less<>> Vms;
  std::unordered_map<std::uint64_t, action_state> Actions;
  /** Ids in the order of their start; the oldest are forgotten first. */
  std::deque<std::uint64_t> ActionOrder;
  std::deque<running_action> Running;
  std::map<std::string, std::uint64_t, std::less<>> Reboots;
};

} // namespace galenalink::platform

#endif
