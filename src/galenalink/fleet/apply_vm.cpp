#include "galenalink/fleet/apply.hpp"
#include "galenalink/fleet/apply_detail.hpp"

namespace galenalink::fleet {

rejection checkPermit(const state &State, const vm_index Index) {
  const vm &Vm = State.Vms.at(Index);
  const pool &Pool = State.Vms.poolAt(Vm.Pool);
  if (Vm.Motion != vm_motion::None || Vm.Maintenance != vm_maintenance::None ||
      Vm.Condition == vm_condition::Leaving)
    return rejection::WrongState;
  if (Pool.Counts.FailedInWave > 0)
    return rejection::FailureInWave;
  // A VM that does not count as up costs the budget nothing.
  if (!Vm.usable())
    return rejection::None;
  const auto Reserve = Pool.largestRackWithout(Vm.RackNumber);
  return Pool.Counts.Usable - 1 >= Pool.Budget + Reserve ? rejection::None
                                                         : rejection::Budget;
}

rejection checkRelease(const state &State, const vm_index Index,
                       const pool_index To) {
  const vm &Vm = State.Vms.at(Index);
  const pool &From = State.Vms.poolAt(Vm.Pool);
  const pool &Target = State.Vms.poolAt(To);
  if (!Target.configured())
    return rejection::UnknownPool;
  if (To == Vm.Pool || Vm.Motion != vm_motion::None ||
      Vm.Maintenance != vm_maintenance::None)
    return rejection::WrongState;
  if (Vm.usable() && From.Counts.Usable <= From.Budget)
    return rejection::Budget;
  if (Target.CustomerHash != Vm.CustomerHash &&
      Target.CustomerHash != From.CustomerHash) {
    const auto &Lending = State.Config.Lending;
    const auto Quota = Lending.find({Vm.Customer, Target.Customer});
    if (Quota == Lending.end() ||
        State.Vms.lent(Vm.Customer, Target.Customer) >= Quota->second)
      return rejection::LendingQuota;
  }
  return rejection::None;
}

namespace detail {

namespace {

[[nodiscard]] vm_condition fromWire(const wire::vm_condition Value) noexcept {
  switch (Value) {
  case wire::VM_UP:
    return vm_condition::Up;
  case wire::VM_DOWN:
    return vm_condition::Down;
  case wire::VM_LEAVING:
    return vm_condition::Leaving;
  default:
    return vm_condition::Unknown;
  }
}

[[nodiscard]] rejection add(state &State, const wire::vm_add &Add,
                            applied &Result) {
  if (Add.vm().empty() || Add.member().empty())
    return rejection::BadRecord;
  if (State.Vms.findVm(Add.vm()))
    return rejection::VmExists;
  const auto Pool = State.Vms.findPool(Add.pool());
  if (!Pool || !State.Vms.poolAt(*Pool).configured())
    return rejection::UnknownPool;
  if (State.Vms.size() >= vm_table::MaxVms)
    return rejection::Full;
  vm Vm;
  Vm.Name = Add.vm();
  Vm.Customer = Add.member();
  Vm.DataCentre = Add.place();
  Vm.Rack = Add.rack();
  Vm.Address = Add.address();
  Vm.Pool = *Pool;
  Vm.Shard = State.Vms.poolAt(*Pool).emptiestShard();
  Vm.Epoch = State.Offset;
  Vm.Condition = fromWire(Add.condition());
  Vm.AddedAt = State.Offset;
  Vm.MaintainedAt = State.LogTime;
  Vm.ConditionSince = State.LogTime;
  Vm.OwnedSince = State.LogTime;
  Result.Vm = State.Vms.add(std::move(Vm));
  return rejection::None;
}

/** @brief Finds the VM of a record and checks the epoch. */
template <typename Body>
[[nodiscard]] rejection find(const state &State, const Body &Record,
                             applied &Result) {
  const auto Index = State.Vms.findVm(Record.vm());
  if (!Index)
    return rejection::UnknownVm;
  if (State.Vms.at(*Index).Epoch != Record.epoch())
    return rejection::StaleEpoch;
  Result.Vm = Index;
  return rejection::None;
}

void changeCondition(state &State, const vm_index Index,
                     const vm_condition Next) {
  State.Vms.change(Index, [&](vm &Vm) {
    const bool Lost =
        Vm.Condition == vm_condition::Up &&
        (Next == vm_condition::Down || Next == vm_condition::Unknown);
    const auto &Counts = State.Vms.poolAt(Vm.Pool).Counts;
    // A VM in maintenance goes down as planned.
    if (Lost && Vm.Maintenance == vm_maintenance::None &&
        Counts.InMaintenance > 0)
      Vm.FailedInWave = true;
    if (Next == vm_condition::Up)
      Vm.FailedInWave = false;
    if (Vm.Condition != Next)
      Vm.ConditionSince = State.LogTime;
    Vm.Condition = Next;
  });
}

[[nodiscard]] rejection release(state &State, const wire::move_release &Record,
                                const vm_index Index) {
  const auto To = State.Vms.findPool(Record.to_pool());
  if (!To)
    return rejection::UnknownPool;
  if (const auto Reason = checkRelease(State, Index, *To);
      Reason != rejection::None)
    return Reason;
  State.Vms.change(Index, [&](vm &Vm) {
    Vm.Motion = vm_motion::Releasing;
    Vm.ToPool = *To;
    Vm.MoveReason = Record.reason();
    Vm.MotionAt = State.Offset;
  });
  return rejection::None;
}

[[nodiscard]] rejection drained(state &State, const vm_index Index) {
  if (State.Vms.at(Index).Motion != vm_motion::Releasing)
    return rejection::WrongState;
  State.Vms.change(Index, [&](vm &Vm) {
    Vm.Motion = vm_motion::Drained;
    Vm.MotionAt = State.Offset;
  });
  return rejection::None;
}

/**
 * Ends a move. The epoch grows with a cancel too: otherwise a drained or take
 * record that was delayed past the cancel could be accepted in a later move,
 * while the pool has work on the VM again.
 */
void endMove(vm &Vm) {
  Vm.Motion = vm_motion::None;
  Vm.ToPool = 0;
  Vm.MoveReason.clear();
  Vm.MotionAt = 0;
  ++Vm.Epoch;
}

[[nodiscard]] rejection take(state &State, const vm_index Index) {
  const vm &Before = State.Vms.at(Index);
  if (Before.Motion != vm_motion::Drained)
    return rejection::WrongState;
  const auto Shard = State.Vms.poolAt(Before.ToPool).emptiestShard();
  State.Vms.change(Index, [&](vm &Vm) {
    Vm.Pool = Vm.ToPool;
    Vm.Shard = Shard;
    Vm.FailedInWave = false;
    Vm.OwnedSince = State.LogTime;
    endMove(Vm);
  });
  return rejection::None;
}

[[nodiscard]] rejection cancel(state &State, const vm_index Index) {
  if (State.Vms.at(Index).Motion == vm_motion::None)
    return rejection::WrongState;
  State.Vms.change(Index, [](vm &Vm) { endMove(Vm); });
  return rejection::None;
}

[[nodiscard]] rejection permit(state &State,
                               const wire::maintenance_permit &Record,
                               const vm_index Index) {
  if (Record.action() == 0 || Record.action() == State.Vms.at(Index).Action)
    return rejection::WrongAction;
  if (const auto Reason = checkPermit(State, Index); Reason != rejection::None)
    return Reason;
  State.Vms.change(Index, [&](vm &Vm) {
    Vm.Maintenance = vm_maintenance::Permitted;
    Vm.Action = Record.action();
    Vm.MaintenanceAt = State.Offset;
  });
  return rejection::None;
}

/** @brief Moves a maintenance on; Done ends it. */
[[nodiscard]] rejection maintain(state &State, const vm_index Index,
                                 const std::uint64_t Action,
                                 const vm_maintenance Next) {
  const vm &Before = State.Vms.at(Index);
  const auto Now = Before.Maintenance;
  if (Now == vm_maintenance::None)
    return rejection::WrongState;
  if (Before.Action != Action)
    return rejection::WrongAction;
  const bool Valid =
      Next == vm_maintenance::Rebooting ? Now == vm_maintenance::Permitted
      : Next == vm_maintenance::Stuck   ? Now != vm_maintenance::Stuck
                                        : Now != vm_maintenance::Permitted;
  if (!Valid)
    return rejection::WrongState;
  State.Vms.change(Index, [&](vm &Vm) {
    Vm.Maintenance = Next;
    Vm.MaintenanceAt = State.Offset;
    if (Next == vm_maintenance::None)
      Vm.MaintainedAt = State.LogTime;
  });
  return rejection::None;
}

} // namespace

rejection applyVm(state &State, const wire::record &Record, applied &Result) {
  const auto With = [&](const auto &Body, const auto &Apply) {
    const auto Reason = find(State, Body, Result);
    return Reason == rejection::None ? Apply(Body, *Result.Vm) : Reason;
  };
  const auto Maintain = [&](const auto &Body, const vm_maintenance Next) {
    return With(Body, [&](const auto &Each, const vm_index Index) {
      return maintain(State, Index, Each.action(), Next);
    });
  };
  switch (Record.body_case()) {
  case wire::record::kAddVm:
    return add(State, Record.add_vm(), Result);
  case wire::record::kChangeVm:
    return With(Record.change_vm(), [&](const auto &Body, vm_index Index) {
      changeCondition(State, Index, fromWire(Body.condition()));
      return rejection::None;
    });
  case wire::record::kRemoveVm:
    return With(Record.remove_vm(), [&](const auto &, vm_index Index) {
      State.Vms.remove(Index);
      return rejection::None;
    });
  case wire::record::kRelease:
    return With(Record.release(), [&](const auto &Body, vm_index Index) {
      return release(State, Body, Index);
    });
  case wire::record::kDrained:
    return With(Record.drained(), [&](const auto &, vm_index Index) {
      return drained(State, Index);
    });
  case wire::record::kTake:
    return With(Record.take(), [&](const auto &, vm_index Index) {
      return take(State, Index);
    });
  case wire::record::kCancel:
    return With(Record.cancel(), [&](const auto &, vm_index Index) {
      return cancel(State, Index);
    });
  case wire::record::kPermit:
    return With(Record.permit(), [&](const auto &Body, vm_index Index) {
      return permit(State, Body, Index);
    });
  case wire::record::kReboot:
    return Maintain(Record.reboot(), vm_maintenance::Rebooting);
  case wire::record::kDone:
    return Maintain(Record.done(), vm_maintenance::None);
  case wire::record::kStuck:
    return Maintain(Record.stuck(), vm_maintenance::Stuck);
  default:
    return rejection::UnknownBody;
  }
}

} // namespace detail

} // namespace galenalink::fleet
