#include "galenalink/plan/demand.hpp"
#include <algorithm>

namespace galenalink::plan {

namespace {

[[nodiscard]] std::uint32_t
divideRoundingUp(const std::uint64_t Value,
                 const std::uint64_t Divisor) noexcept {
  return Divisor == 0
             ? 0
             : static_cast<std::uint32_t>((Value + Divisor - 1) / Divisor);
}

} // namespace

pool_demand projectDemand(pool_demand Demand, const wall_ms AgeMs,
                          const std::uint32_t Capacity) noexcept {
  const auto Time = static_cast<std::uint64_t>(std::max<wall_ms>(AgeMs, 0));
  const auto Arrived = Demand.QueuedSlotMs + Demand.Slots * Time;
  const auto Served = Capacity * Time;
  Demand.QueuedSlotMs = Arrived > Served ? Arrived - Served : 0;
  return Demand;
}

std::uint32_t requiredVms(const pool_demand &Demand,
                          const buffer_settings &Settings) noexcept {
  const auto Horizon = static_cast<std::uint64_t>(Settings.HorizonMs);
  const auto Wait =
      static_cast<std::uint64_t>(Demand.SlackMs) * Settings.WaitPercent / 100;
  const auto Work = Demand.QueuedSlotMs + Demand.Slots * Horizon;
  return Work <= Settings.MoveCostSlotMs
             ? 0
             : divideRoundingUp(Work - Settings.MoveCostSlotMs,
                                Settings.SlotsPerVm * (Horizon + Wait));
}

std::uint32_t retainedVms(const pool_demand &Demand,
                          const buffer_settings &Settings) noexcept {
  const auto Horizon = static_cast<std::uint64_t>(Settings.HorizonMs);
  return divideRoundingUp(Demand.QueuedSlotMs + Demand.Slots * Horizon,
                          Settings.SlotsPerVm * Horizon);
}

} // namespace galenalink::plan
