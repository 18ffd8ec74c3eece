#include "galenalink/fleet/pool.hpp"
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

void pool::addRack(const std::uint32_t Rack) {
  if (RackUsable.size() <= Rack)
    RackUsable.resize(Rack + 1);
  const std::uint32_t Size = ++RackUsable[Rack];
  if (RacksBySize.size() <= Size)
    RacksBySize.resize(Size + 1);
  --RacksBySize[Size - 1];
  ++RacksBySize[Size];
  Counts.LargestRack = std::max(Counts.LargestRack, Size);
}

void pool::removeRack(const std::uint32_t Rack) noexcept {
  const std::uint32_t Size = RackUsable[Rack]--;
  --RacksBySize[Size];
  ++RacksBySize[Size - 1];
  if (Counts.LargestRack == Size && RacksBySize[Size] == 0)
    --Counts.LargestRack;
}

std::uint32_t
pool::largestRackWithout(const std::uint32_t Rack) const noexcept {
  const bool Only = Rack < RackUsable.size() && Counts.LargestRack > 0 &&
                    RackUsable[Rack] == Counts.LargestRack &&
                    RacksBySize[Counts.LargestRack] == 1;
  return Only ? Counts.LargestRack - 1 : Counts.LargestRack;
}

} // namespace galenalink::fleet
