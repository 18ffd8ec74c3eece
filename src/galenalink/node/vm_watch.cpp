#include "galenalink/node/vm_watch.hpp"
#include "galenalink/node/duty.hpp"
#include "galenalink/telemetry/log.hpp"
#include "records.pb.h"
#include <unordered_set>

namespace galenalink::node {

namespace {

constexpr telemetry::logger Logger{"vms"};

/** Appends of one poll; the log takes several hundred a second in all. */
constexpr std::size_t MaxRecordsPerPoll = 100;
constexpr duration AppendLimit = std::chrono::seconds{2};

[[nodiscard]] wire::vm_condition toWire(const platform::vm_state State) {
  switch (State) {
  case platform::vm_state::Live:
    return wire::VM_UP;
  case platform::vm_state::Leaving:
    return wire::VM_LEAVING;
  case platform::vm_state::Down:
    break;
  }
  return wire::VM_DOWN;
}

[[nodiscard]] wire::record addRecord(const platform::vm &Vm) {
  wire::record Record;
  auto &Add = *Record.mutable_add_vm();
  Add.set_vm(Vm.Vm);
  Add.set_member(Vm.Customer);
  Add.set_place(Vm.DataCentre);
  Add.set_rack(Vm.Rack);
  Add.set_address(Vm.Address);
  Add.set_pool(Vm.Pool);
  Add.set_condition(toWire(Vm.State));
  return Record;
}

[[nodiscard]] wire::record removeRecord(const fleet::vm &Vm) {
  wire::record Record;
  Record.mutable_remove_vm()->set_vm(Vm.Name);
  Record.mutable_remove_vm()->set_epoch(Vm.Epoch);
  return Record;
}

[[nodiscard]] wire::record changeRecord(const fleet::vm &Vm,
                                        const platform::vm_state State) {
  wire::record Record;
  auto &Change = *Record.mutable_change_vm();
  Change.set_vm(Vm.Name);
  Change.set_epoch(Vm.Epoch);
  Change.set_condition(toWire(State));
  return Record;
}

} // namespace

std::vector<wire::record> compareVms(const fleet::state &State,
                                     const std::vector<platform::vm> &Listed,
                                     const std::size_t Limit) {
  std::vector<wire::record> Records;
  std::unordered_set<std::string_view> Names;
  const auto Full = [&] { return Records.size() >= Limit; };
  for (const auto &Vm : Listed) {
    Names.insert(Vm.Vm);
    if (Full())
      continue;
    const auto Known = State.Vms.findVm(Vm.Vm);
    if (!Known) {
      const auto Pool = State.Vms.findPool(Vm.Pool);
      if (Pool && State.Vms.poolAt(*Pool).configured())
        Records.push_back(addRecord(Vm));
      continue;
    }
    const auto &Present = State.Vms.at(*Known);
    if (static_cast<int>(Present.Condition) !=
        static_cast<int>(toWire(Vm.State)))
      Records.push_back(changeRecord(Present, Vm.State));
  }
  for (std::size_t Slot = 0; Slot < State.Vms.slots() && !Full(); ++Slot) {
    const auto Index = static_cast<fleet::vm_index>(Slot);
    if (State.Vms.used(Index) && !Names.contains(State.Vms.at(Index).Name))
      Records.push_back(removeRecord(State.Vms.at(Index)));
  }
  return Records;
}

vm_watch::vm_watch(const fleet::node_view &View,
                   const platform::adapter &Adapter, log_follower &Log,
                   std::function<void(const std::string &)> Leaving)
    : View{View}, Adapter{Adapter}, Log{Log}, Leaving{std::move(Leaving)},
      Alive{std::make_shared<bool>(true)} {}

std::uint32_t vm_watch::homeVms(const std::string &Pool) const {
  const auto Known = InitialVms.find(Pool);
  return Known == InitialVms.end() ? 0 : Known->second;
}

void vm_watch::poll() {
  if (Asking)
    return;
  Asking = true;
  Adapter.ListVms(
      [this, Guard = std::weak_ptr<bool>{Alive}](
          const platform::outcome_of<std::vector<platform::vm>> &Answer) {
        if (Guard.expired())
          return;
        Asking = false;
        if (const auto *Listed =
                std::get_if<std::vector<platform::vm>>(&Answer))
          received(*Listed);
      });
}

void vm_watch::received(const std::vector<platform::vm> &Listed) {
  InitialVms.clear();
  for (const auto &Vm : Listed) {
    ++InitialVms[Vm.Pool];
    if (Vm.State == platform::vm_state::Leaving)
      Leaving(Vm.Vm);
  }
  // Records under way are not in the state yet and would be appended again.
  if (!onDuty(View, "vms", boot_clock::now()) || Appending > 0)
    return;
  for (auto &Record : compareVms(View.State, Listed, MaxRecordsPerPoll)) {
    ++Appending;
    Record.set_writer(static_cast<std::uint64_t>(View.Self));
    Log.append(std::move(Record), boot_clock::now() + AppendLimit,
               [this](const append_outcome & /*Outcome*/) { --Appending; });
  }
  if (Appending > 0)
    Logger.info("The VM list has changed.", {{"records", Appending}});
}

} // namespace galenalink::node
