#include "galenalink/fleet/vm_table.hpp"
#include "galenalink/core/hash.hpp"

namespace galenalink::fleet {

namespace {

[[nodiscard]] std::string rackKey(const vm &Vm) {
  return Vm.DataCentre + '/' + Vm.Rack;
}

} // namespace

std::optional<vm_index> vm_table::findVm(const std::string_view Name) const {
  return VmByName.find(hash64(Name), [&](const vm_index Index) {
    return Vms[Index].Name == Name;
  });
}

std::optional<pool_index>
vm_table::findPool(const std::string_view Name) const {
  return PoolByName.find(hash64(Name), [&](const pool_index Index) {
    return Pools[Index].Name == Name;
  });
}

std::uint32_t vm_table::lent(const std::string &Owner,
                             const std::string &Borrower) const {
  const auto Found =
      LentByPair.find(hashCombine(hash64(Owner), hash64(Borrower)));
  return Found == LentByPair.end() ? 0 : Found->second;
}

vm_index vm_table::add(vm Vm) {
  auto Index = static_cast<vm_index>(Vms.size());
  if (Free.empty()) {
    Vms.emplace_back();
  } else {
    Index = Free.back();
    Free.pop_back();
  }
  Vms[Index] = std::move(Vm);
  enter(Index);
  return Index;
}

void vm_table::remove(const vm_index Index) {
  count(Vms.at(Index), false);
  releaseRack(Vms[Index]);
  VmByName.erase(hash64(Vms[Index].Name), Index);
  Vms[Index] = {};
  Free.push_back(Index);
}

pool_index vm_table::addPool(const std::string &Name,
                             const std::string &Customer,
                             const std::uint32_t Shards) {
  if (const auto Known = findPool(Name))
    return *Known;
  const auto Index = static_cast<pool_index>(Pools.size());
  PoolByName.insert(hash64(Name), Index);
  pool &Pool = Pools.emplace_back();
  Pool.Name = Name;
  Pool.Customer = Customer;
  Pool.CustomerHash = hash64(Customer);
  Pool.Shards = Shards;
  Pool.ShardVms.resize(Shards);
  return Index;
}

void vm_table::restore(std::vector<pool> SavedPools, std::vector<vm> SavedSlots,
                       std::vector<vm_index> SavedFree) {
  *this = {};
  Pools = std::move(SavedPools);
  for (pool_index Index = 0; Index < Pools.size(); ++Index) {
    pool &Pool = Pools[Index];
    PoolByName.insert(hash64(Pool.Name), Index);
    Pool.CustomerHash = hash64(Pool.Customer);
    Pool.Counts = {};
    Pool.ShardVms.assign(Pool.Shards, 0);
    Pool.RackUsable.clear();
    Pool.RacksBySize.clear();
    Pool.updateBudget();
  }
  Vms = std::move(SavedSlots);
  Free = std::move(SavedFree);
  for (vm_index Index = 0; Index < Vms.size(); ++Index) {
    if (used(Index))
      enter(Index);
  }
}

void vm_table::enter(const vm_index Index) {
  vm &Vm = Vms[Index];
  VmByName.insert(hash64(Vm.Name), Index);
  Vm.RackNumber = holdRack(Vm);
  Vm.CustomerHash = hash64(Vm.Customer);
  count(Vm, true);
}

std::uint32_t vm_table::holdRack(const vm &Vm) {
  const auto Next = FreeRacks.empty()
                        ? static_cast<std::uint32_t>(RackVms.size())
                        : FreeRacks.back();
  const auto [Entry, New] = RackByName.emplace(rackKey(Vm), Next);
  if (New && FreeRacks.empty())
    RackVms.push_back(0);
  else if (New)
    FreeRacks.pop_back();
  ++RackVms[Entry->second];
  return Entry->second;
}

void vm_table::releaseRack(const vm &Vm) {
  if (--RackVms[Vm.RackNumber] > 0)
    return;
  RackByName.erase(rackKey(Vm));
  FreeRacks.push_back(Vm.RackNumber);
}

void vm_table::count(const vm &Vm, const bool Add) {
  const auto Step = [Add](std::uint32_t &Counter, const bool Applies) {
    if (Applies)
      Counter += Add ? 1U : ~0U;
  };
  pool &Pool = Pools.at(Vm.Pool);
  const bool Moving = Vm.Motion != vm_motion::None;
  Step(Pool.Counts.Vms, true);
  Step(Pool.ShardVms.at(Vm.Shard), true);
  Step(Pool.Counts.InMotion, Moving);
  Step(Pool.Counts.InMaintenance,
       Vm.Maintenance == vm_maintenance::Permitted ||
           Vm.Maintenance == vm_maintenance::Rebooting);
  Step(Pool.Counts.Stuck, Vm.Maintenance == vm_maintenance::Stuck);
  Step(Pool.Counts.FailedInWave, Vm.FailedInWave);
  if (Vm.usable()) {
    Step(Pool.Counts.Usable, true);
    Add ? Pool.addRack(Vm.RackNumber) : Pool.removeRack(Vm.RackNumber);
  }
  pool &Target = Moving ? Pools.at(Vm.ToPool) : Pool;
  Step(Target.Counts.Incoming, Moving);
  if (Target.CustomerHash != Vm.CustomerHash)
    Step(LentByPair[hashCombine(Vm.CustomerHash, Target.CustomerHash)], true);
}

} // namespace galenalink::fleet
