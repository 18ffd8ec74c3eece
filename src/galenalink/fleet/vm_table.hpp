#ifndef GALENALINK_FLEET_VM_TABLE_HPP
#define GALENALINK_FLEET_VM_TABLE_HPP

#include "galenalink/fleet/flat_index.hpp"
#include "galenalink/fleet/pool.hpp"
#include "galenalink/fleet/vm.hpp"
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace galenalink::fleet {

/**
 * @brief VMs and pools by dense index. Every change of a VM goes through this
 * table, which keeps the counts of the pools at a cost independent of the
 * number of VMs.
 */
class vm_table {
public:
  static constexpr std::size_t MaxVms = 20000;
  static constexpr std::size_t MaxPools = 1024;

  [[nodiscard]] std::optional<vm_index> findVm(std::string_view Name) const;
  [[nodiscard]] std::optional<pool_index> findPool(std::string_view Name) const;
  [[nodiscard]] const vm &at(vm_index Index) const { return Vms.at(Index); }
  [[nodiscard]] const pool &poolAt(pool_index Index) const {
    return Pools.at(Index);
  }
  /** @brief All pools ever configured, by index. */
  [[nodiscard]] const std::vector<pool> &pools() const noexcept {
    return Pools;
  }
  /** @brief Number of VMs. */
  [[nodiscard]] std::size_t size() const noexcept {
    return Vms.size() - Free.size();
  }
  /** @brief One past the largest VM index; slots between may be free. */
  [[nodiscard]] std::size_t slots() const noexcept { return Vms.size(); }
  /** @brief Whether the slot holds a VM. */
  [[nodiscard]] bool used(const vm_index Index) const noexcept {
    return Index < Vms.size() && !Vms[Index].Name.empty();
  }
  /** @brief Free slots, the next one to be used last. */
  [[nodiscard]] const std::vector<vm_index> &freeSlots() const noexcept {
    return Free;
  }
  /** @brief VMs of an owner that are in, or move to, a borrower's pools. */
  [[nodiscard]] std::uint32_t lent(const std::string &Owner,
                                   const std::string &Borrower) const;

  vm_index add(vm Vm);
  void remove(vm_index Index);
  /** @brief Changes a VM and the counts that depend on it. */
  template <typename Change>
  void change(const vm_index Index, const Change &Edit) {
    vm &Vm = Vms.at(Index);
    count(Vm, false);
    Edit(Vm);
    count(Vm, true);
  }
  /** @brief The pool with this name, made if it is not known. */
  pool_index addPool(const std::string &Name, const std::string &Customer,
                     std::uint32_t Shards);
  /** @brief Access to the settings of a pool; its counts stay as they are. */
  [[nodiscard]] pool &editPool(const pool_index Index) {
    return Pools.at(Index);
  }
  /** @brief Puts back a table as it was saved. */
  void restore(std::vector<pool> SavedPools, std::vector<vm> SavedSlots,
               std::vector<vm_index> SavedFree);

private:
  void count(const vm &Vm, bool Add);
  /** @brief Derives what depends on the VM in a slot. */
  void enter(vm_index Index);
  [[nodiscard]] std::uint32_t holdRack(const vm &Vm);
  void releaseRack(const vm &Vm);

  std::vector<vm> Vms;
  std::vector<vm_index> Free;
  std::vector<pool> Pools;
  detail::flat_index VmByName;
  detail::flat_index PoolByName;
  /** By "place/rack"; a number is reused once its last VM is gone. */
  std::unordered_map<std::string, std::uint32_t> RackByName;
  std::vector<std::uint32_t> RackVms;
  std::vector<std::uint32_t> FreeRacks;
  /** By the hashes of owner and borrower. */
  std::unordered_map<std::uint64_t, std::uint32_t> LentByPair;
};

} // namespace galenalink::fleet

#endif
