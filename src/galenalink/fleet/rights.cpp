#include "galenalink/fleet/rights.hpp"

namespace galenalink::fleet {

home_right homeRight(const node_view &View, const pool_index Pool,
                     const std::uint32_t Shard, const time_point Now) {
  const auto *Seats = View.Shards.find(Pool, Shard);
  if (Seats == nullptr || !Seats->Home || Seats->Home->Node != View.Self)
    return home_right::NotHome;
  if (!View.Authority.holds(Now))
    return home_right::NoAuthority;
  return View.Barrier.reached(View.State, Seats->Home->Since, Now)
             ? home_right::Held
             : home_right::BarrierPending;
}

bool mayPlace(const node_view &View, const vm_index Vm, const time_point Now) {
  const auto &Known = View.State.Vms.at(Vm);
  return Known.usable() &&
         homeRight(View, Known.Pool, Known.Shard, Now) == home_right::Held &&
         View.Barrier.reached(View.State, Known.AddedAt, Now);
}

bool mayReportDrained(const node_view &View, const vm_index Vm,
                      const time_point Now) {
  const auto &Known = View.State.Vms.at(Vm);
  return Known.Motion == vm_motion::Releasing &&
         homeRight(View, Known.Pool, Known.Shard, Now) == home_right::Held;
}

bool mayTake(const node_view &View, const vm_index Vm, const time_point Now) {
  const auto &Known = View.State.Vms.at(Vm);
  return Known.Motion == vm_motion::Drained &&
         View.Barrier.reached(View.State, Known.MotionAt, Now);
}

bool mayReboot(const node_view &View, const vm_index Vm, const time_point Now) {
  const auto &Known = View.State.Vms.at(Vm);
  return Known.Maintenance == vm_maintenance::Rebooting &&
         View.Barrier.reached(View.State, Known.MaintenanceAt, Now);
}

} // namespace galenalink::fleet
