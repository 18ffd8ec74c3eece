#include "galenalink/fleet/pool.hpp"
#include "galenalink/core/assert.hpp"
#include "galenalink/fleet/vm.hpp"
#include <algorithm>

namespace galenalink::fleet {

std::uint32_t pool::emptiestShard() const noexcept {
  const auto Least = std::min_element(ShardVms.begin(), ShardVms.end());
  return static_cast<std::uint32_t>(Least - ShardVms.begin());
}

void pool::updateBudget() noexcept {
  Budget = MinUp;
  for (const auto &[Service, Needed] : ServiceMinUp)
    Budget = std::max(Budget, Needed);
}

void pool::addRack(const std::string &Rack) {
  const auto Size = ++RackUsable[Rack];
  if (RacksBySize.size() <= Size)
    RacksBySize.resize(Size + 1);
  if (Size > 1)
    --RacksBySize[Size - 1];
  ++RacksBySize[Size];
  Counts.LargestRack = std::max(Counts.LargestRack, Size);
}

void pool::removeRack(const std::string &Rack) {
  const auto Found = RackUsable.find(Rack);
  GALENALINK_ASSERT(Found != RackUsable.end(), "a usable VM has its rack");
  const auto Size = Found->second--;
  --RacksBySize[Size];
  if (Size > 1)
    ++RacksBySize[Size - 1];
  else
    RackUsable.erase(Found);
  if (Counts.LargestRack == Size && RacksBySize[Size] == 0)
    --Counts.LargestRack;
}

std::uint32_t pool::largestRackWithout(const std::string &Rack) const noexcept {
  const auto Found = RackUsable.find(Rack);
  const bool Only = Found != RackUsable.end() &&
                    Found->second == Counts.LargestRack &&
                    RacksBySize[Counts.LargestRack] == 1;
  return Only ? Counts.LargestRack - 1 : Counts.LargestRack;
}

std::string rackKey(const vm &Vm) { return Vm.Place + '/' + Vm.Rack; }

} // namespace galenalink::fleet
