#include "galenalink/fleet/vm_table.hpp"
#include "galenalink/core/hash.hpp"

namespace galenalink::fleet {

namespace {

[[nodiscard]] std::optional<std::uint32_t>
lookUp(const detail::name_index &Index, const std::string_view Name) {
  const auto Found = Index.find(Name);
  if (Found == Index.end())
    return std::nullopt;
  return Found->second;
}

[[nodiscard]] std::string pairKey(const std::string &Owner,
                                  const std::string &Borrower) {
  return Owner + '\n' + Borrower;
}

} // namespace

std::size_t
detail::name_hash::operator()(const std::string_view Name) const noexcept {
  return hash64(Name);
}

std::optional<vm_index> vm_table::findVm(const std::string_view Name) const {
  return lookUp(VmByName, Name);
}

std::optional<pool_index>
vm_table::findPool(const std::string_view Name) const {
  return lookUp(PoolByName, Name);
}

std::uint32_t vm_table::lent(const std::string &Owner,
                             const std::string &Borrower) const {
  const auto Found = LentByPair.find(pairKey(Owner, Borrower));
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
  VmByName.emplace(Vm.Name, Index);
  Vms[Index] = std::move(Vm);
  count(Vms[Index], true);
  return Index;
}

void vm_table::remove(const vm_index Index) {
  count(Vms.at(Index), false);
  VmByName.erase(Vms[Index].Name);
  Vms[Index] = {};
  Free.push_back(Index);
}

pool_index vm_table::addPool(const std::string &Name, const std::string &Member,
                             const std::uint32_t Shards) {
  const auto [Entry, Added] =
      PoolByName.emplace(Name, static_cast<pool_index>(Pools.size()));
  if (Added) {
    pool &Pool = Pools.emplace_back();
    Pool.Name = Name;
    Pool.Member = Member;
    Pool.Shards = Shards;
    Pool.ShardVms.resize(Shards);
  }
  return Entry->second;
}

void vm_table::restore(std::vector<pool> SavedPools, std::vector<vm> SavedSlots,
                       std::vector<vm_index> SavedFree) {
  *this = {};
  Pools = std::move(SavedPools);
  for (pool_index Index = 0; Index < Pools.size(); ++Index) {
    pool &Pool = Pools[Index];
    PoolByName.emplace(Pool.Name, Index);
    Pool.Counts = {};
    Pool.ShardVms.assign(Pool.Shards, 0);
    Pool.RackUsable.clear();
    Pool.RacksBySize.clear();
    Pool.updateBudget();
  }
  Vms = std::move(SavedSlots);
  Free = std::move(SavedFree);
  for (vm_index Index = 0; Index < Vms.size(); ++Index) {
    if (!used(Index))
      continue;
    VmByName.emplace(Vms[Index].Name, Index);
    count(Vms[Index], true);
  }
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
    Add ? Pool.addRack(rackKey(Vm)) : Pool.removeRack(rackKey(Vm));
  }
  pool &Target = Moving ? Pools.at(Vm.ToPool) : Pool;
  Step(Target.Counts.Incoming, Moving);
  if (Target.Member != Vm.Member)
    Step(LentByPair[pairKey(Vm.Member, Target.Member)], true);
}

} // namespace galenalink::fleet
