#ifndef GALENALINK_TEST_FLEET_NAIVE_FOLD_HPP
#define GALENALINK_TEST_FLEET_NAIVE_FOLD_HPP

#include "galenalink/fleet/documents.hpp"
#include "galenalink/fleet/vm.hpp"
#include "records.pb.h"
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace galenalink::fleet::test {

/** @brief A VM by the names that records use. */
struct naive_vm {
  wire::vm_add Added;
  std::string Pool;
  std::string To;
  std::uint32_t Shard{0};
  std::uint64_t Epoch{0};
  wire::vm_condition Condition{};
  bool Drained{false};
  vm_maintenance Maintenance{};
  std::uint64_t Action{0};
  bool FailedInWave{false};

  [[nodiscard]] bool usable() const {
    return Condition == wire::VM_UP && To.empty() &&
           Maintenance == vm_maintenance::None;
  }
};

/**
 * @brief The fold without indices or counters: each question is answered by
 * a scan over all VMs and documents. Only says accepted or rejected.
 */
class naive_fold {
public:
  bool apply(std::uint64_t Offset, const wire::record &Record);

  std::map<std::string, naive_vm> Vms;
  std::map<std::string, config::service_file> Files;
  std::map<std::uint64_t, std::string> Nodes;
  std::int64_t Time{0};

  [[nodiscard]] const config::pool *findPool(const std::string &Name) const;
  [[nodiscard]] std::string customerOf(const std::string &Pool) const;
  [[nodiscard]] std::uint32_t budgetOf(const std::string &Pool) const;
  [[nodiscard]] std::uint32_t count(const std::string &Pool,
                                    bool (*Which)(const naive_vm &)) const;
  [[nodiscard]] std::uint32_t largestRack(const std::string &Pool,
                                          const std::string &Without) const;

private:
  bool roster(const wire::record &Record);
  bool change(std::uint64_t Offset, const wire::config_change &Change);
  bool onVm(std::uint64_t Offset, const wire::record &Record);
  bool release(naive_vm &Vm, const wire::move_release &Record);
  bool permit(naive_vm &Vm, std::uint64_t Action, const std::string &Name);
  [[nodiscard]] std::uint32_t emptiestShard(const std::string &Pool) const;

  std::set<std::uint64_t> Seen;
  std::set<std::uint64_t> Departed;
  std::set<std::uint64_t> Stopped;
  std::map<std::string, std::uint64_t> Versions;
  std::map<std::string, std::pair<std::string, std::uint32_t>> PoolForever;
  std::map<std::string, std::string> ServiceForever;
};

} // namespace galenalink::fleet::test

#endif
