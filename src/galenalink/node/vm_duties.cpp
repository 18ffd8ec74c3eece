#include "galenalink/node/vm_duties.hpp"
#include "galenalink/node/duty.hpp"
#include "galenalink/telemetry/log.hpp"
#include "records.pb.h"

namespace galenalink::node {

namespace {

constexpr telemetry::logger Logger{"vms"};

constexpr duration AppendLimit = std::chrono::seconds{2};
/** A step is tried again after this if its record was not folded. */
constexpr duration StepRetry = std::chrono::seconds{3};
/** A VM that is not back by then is reported as stuck. */
constexpr duration RebootLimit = std::chrono::minutes{10};

template <typename Step> void name(Step &Record, const fleet::vm &Vm) {
  Record.set_vm(Vm.Name);
  Record.set_epoch(Vm.Epoch);
}

} // namespace

vm_duties::vm_duties(const fleet::node_view &View,
                     const platform::adapter &Adapter, log_follower &Log,
                     vm_duty_hooks Hooks)
    : View{View}, Adapter{Adapter}, Log{Log}, Hooks{std::move(Hooks)},
      Alive{std::make_shared<bool>(true)} {}

void vm_duties::tick(const time_point Now) {
  if (!View.Authority.holds(Now))
    return;
  std::erase_if(Busy, [&](const auto &Entry) { return Entry.second <= Now; });
  const auto &Vms = View.State.Vms;
  for (std::size_t Slot = 0; Slot < Vms.slots(); ++Slot) {
    const auto Index = static_cast<fleet::vm_index>(Slot);
    if (Vms.used(Index) && !Busy.contains(Vms.at(Index).Name))
      advance(Index, Now);
  }
}

void vm_duties::advance(const fleet::vm_index Index, const time_point Now) {
  const auto &Vm = View.State.Vms.at(Index);
  switch (Vm.Motion) {
  case fleet::vm_motion::Releasing:
    reportDrained(Index, Now);
    return;
  case fleet::vm_motion::Drained:
    take(Index, Now);
    return;
  case fleet::vm_motion::None:
    break;
  }
  switch (Vm.Maintenance) {
  case fleet::vm_maintenance::Permitted:
    startReboot(Index, Now);
    return;
  case fleet::vm_maintenance::Rebooting:
  case fleet::vm_maintenance::Stuck:
    followReboot(Index, Now);
    return;
  case fleet::vm_maintenance::None:
    break;
  }
  Waiting.erase(Vm.Name);
}

time_point vm_duties::since(const fleet::vm &Vm, const log_offset Step,
                            const time_point Now) {
  auto &Entry = Waiting[Vm.Name];
  if (Entry.Step != Step)
    Entry = {Step, Now};
  return Entry.SeenAt;
}

bool vm_duties::idle(const fleet::vm &Vm, const log_offset Step,
                     const time_point Now) {
  const auto SeenAt = since(Vm, Step, Now);
  // Only a status that was asked for after placement had stopped counts.
  const auto IdleAt = Hooks.IdleAt(Vm.Name);
  return Hooks.RunningOn(Vm.Name) == 0 && IdleAt && *IdleAt > SeenAt;
}

void vm_duties::append(wire::record Record, const std::string &Vm,
                       std::string Text, const time_point Now) {
  Busy[Vm] = Now + StepRetry;
  Logger.info(Text, {{"vm", Vm}});
  Hooks.Decided(Vm, std::move(Text));
  Record.set_writer(static_cast<std::uint64_t>(View.Self));
  Log.append(std::move(Record), Now + AppendLimit,
             [this, Vm](const append_outcome &Outcome) {
               if (Outcome.End == append_end::Folded)
                 Busy.erase(Vm);
             });
}

void vm_duties::reportDrained(const fleet::vm_index Index,
                              const time_point Now) {
  const auto &Vm = View.State.Vms.at(Index);
  if (!fleet::mayReportDrained(View, Index, Now) || !idle(Vm, Vm.MotionAt, Now))
    return;
  wire::record Record;
  name(*Record.mutable_drained(), Vm);
  append(std::move(Record), Vm.Name, "The VM is drained for its move.", Now);
}

void vm_duties::take(const fleet::vm_index Index, const time_point Now) {
  const auto &Vm = View.State.Vms.at(Index);
  if (!fleet::mayTake(View, Index, Now) ||
      !onDuty(View, "take/" + Vm.Name, Now))
    return;
  wire::record Record;
  name(*Record.mutable_take(), Vm);
  append(std::move(Record), Vm.Name, "The VM goes to its new pool.", Now);
}

void vm_duties::startReboot(const fleet::vm_index Index, const time_point Now) {
  const auto &Vm = View.State.Vms.at(Index);
  const bool Home =
      fleet::homeRight(View, Vm.Pool, Vm.Shard, Now) == fleet::home_right::Held;
  if (!Home || !idle(Vm, Vm.MaintenanceAt, Now))
    return;
  wire::record Record;
  name(*Record.mutable_reboot(), Vm);
  Record.mutable_reboot()->set_action(Vm.Action);
  append(std::move(Record), Vm.Name, "The VM is drained and will reboot.", Now);
}

void vm_duties::followReboot(const fleet::vm_index Index,
                             const time_point Now) {
  const auto &Vm = View.State.Vms.at(Index);
  if (!fleet::mayReboot(View, Index, Now) ||
      !onDuty(View, "reboot/" + Vm.Name, Now))
    return;
  Busy[Vm.Name] = Now + StepRetry;
  // The action is looked up before it is asked for, because the answer to an
  // earlier request may have been lost after the reboot took effect.
  Adapter.Action(
      Vm.Action,
      [this, Name = Vm.Name, Action = Vm.Action,
       Guard = std::weak_ptr<bool>{Alive}](
          const platform::outcome_of<platform::action_state> &Answer) {
        if (Guard.expired())
          return;
        const auto *State = std::get_if<platform::action_state>(&Answer);
        const auto Known = View.State.Vms.findVm(Name);
        if (State == nullptr || !Known ||
            View.State.Vms.at(*Known).Action != Action)
          return;
        if (*State == platform::action_state::Unknown)
          askForReboot(Name, Action);
        else
          finish(View.State.Vms.at(*Known), *State, boot_clock::now());
      });
}

void vm_duties::askForReboot(const std::string &Vm,
                             const std::uint64_t Action) {
  Logger.info("Asking the platform to reboot a VM.", {{"vm", Vm}});
  Hooks.Decided(Vm, "The platform was asked to reboot the VM.");
  Adapter.Reboot(Vm, Action, [](platform::action_request /*Answer*/) {});
}

void vm_duties::finish(const fleet::vm &Vm, const platform::action_state State,
                       const time_point Now) {
  const bool Back = State == platform::action_state::Done &&
                    Vm.Condition == fleet::vm_condition::Up;
  const bool Late = Vm.Maintenance == fleet::vm_maintenance::Rebooting &&
                    since(Vm, Vm.MaintenanceAt, Now) + RebootLimit < Now;
  wire::record Record;
  if (Back) {
    name(*Record.mutable_done(), Vm);
    Record.mutable_done()->set_action(Vm.Action);
    append(std::move(Record), Vm.Name, "The VM is maintained and back.", Now);
  } else if (Late) {
    name(*Record.mutable_stuck(), Vm);
    Record.mutable_stuck()->set_action(Vm.Action);
    append(std::move(Record), Vm.Name,
           "The VM did not come back after its reboot.", Now);
  }
}

} // namespace galenalink::node
