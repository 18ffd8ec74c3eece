#include "galenalink/plan/headroom.hpp"
#include <algorithm>

namespace galenalink::plan {

namespace {

[[nodiscard]] std::uint32_t removableVms(const pool_view &Pool,
                                         const headroom &PoolHeadroom,
                                         const std::uint32_t Up) noexcept {
  if (Pool.MinUp == 0) {
    const auto BatchSize =
        std::max(PoolHeadroom.LargestRack, (PoolHeadroom.Vms + 3) / 4);
    const auto Out = PoolHeadroom.Vms - Up;
    return BatchSize > Out ? BatchSize - Out : 0;
  }
  const auto MinRemaining = Pool.MinUp + PoolHeadroom.LargestRack;
  return Up > MinRemaining ? Up - MinRemaining : 0;
}

} // namespace

std::vector<headroom> computeHeadroom(const std::span<const vm_view> Vms,
                                      const std::span<const pool_view> Pools) {
  std::vector<headroom> Result(Pools.size());
  std::vector<std::pair<pool_index, rack_index>> Racks;
  Racks.reserve(Vms.size());
  for (const auto &Vm : Vms) {
    if (Vm.Owner != Pools[Vm.Pool].Customer)
      continue;
    ++Result[Vm.Pool].Vms;
    Result[Vm.Pool].Up += Vm.isUp() ? 1 : 0;
    Racks.emplace_back(Vm.Pool, Vm.Rack);
  }
  std::ranges::sort(Racks);
  for (auto First = Racks.cbegin(); First != Racks.cend();) {
    const auto Last = std::upper_bound(First, Racks.cend(), *First);
    auto &Largest = Result[First->first].LargestRack;
    Largest = std::max(Largest, static_cast<std::uint32_t>(Last - First));
    First = Last;
  }
  for (std::size_t I = 0; I < Pools.size(); ++I) {
    auto &PoolHeadroom = Result[I];
    PoolHeadroom.Removable =
        removableVms(Pools[I], PoolHeadroom, PoolHeadroom.Up);
    PoolHeadroom.MaxRemovable =
        Pools[I].MinUp == 0
            ? PoolHeadroom.Vms
            : removableVms(Pools[I], PoolHeadroom, PoolHeadroom.Vms);
  }
  return Result;
}

} // namespace galenalink::plan
