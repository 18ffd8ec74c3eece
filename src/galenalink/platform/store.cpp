#include "galenalink/platform/store.hpp"
#include <algorithm>
#include <utility>

namespace galenalink::platform {

store::store(const options Options, std::vector<vm> Vms) : Options{Options} {
  for (vm &Vm : Vms)
    put(std::move(Vm));
}

log_offset store::append(std::string Data) {
  Records.push_back(std::move(Data));
  const log_offset Offset = First + Records.size() - 1;
  while (Records.size() > Options.MaxRecords) {
    Records.pop_front();
    ++First;
  }
  return Offset;
}

log_page store::read(const log_offset From, const std::size_t Max) const {
  log_page Page;
  Page.First = First;
  Page.End = First + Records.size();
  for (log_offset Offset = std::max(From, First);
       Offset < Page.End && Page.Records.size() < Max; ++Offset)
    Page.Records.push_back({Offset, Records[Offset - First]});
  return Page;
}

void store::expire(const log_offset Before) {
  while (First < Before && !Records.empty()) {
    Records.pop_front();
    ++First;
  }
}

std::vector<vm> store::vms(const time_point Now) {
  settle(Now);
  std::vector<vm> List;
  List.reserve(Vms.size());
  for (const auto &[Name, Vm] : Vms)
    List.push_back(Vm);
  return List;
}

bool store::setState(const std::string_view Vm, const vm_state State) {
  const auto Found = Vms.find(Vm);
  if (Found == Vms.end())
    return false;
  Found->second.State = State;
  return true;
}

void store::put(vm Vm) {
  const std::string Name = Vm.Vm;
  Vms.insert_or_assign(Name, std::move(Vm));
}

void store::remove(const std::string_view Vm) {
  const auto Found = Vms.find(Vm);
  if (Found != Vms.end())
    Vms.erase(Found);
}

bool store::start(const std::uint64_t Action) {
  if (!Actions.emplace(Action, action_state::Running).second)
    return false;
  ActionOrder.push_back(Action);
  if (ActionOrder.size() > Options.MaxActions) {
    Actions.erase(ActionOrder.front());
    ActionOrder.pop_front();
  }
  return true;
}

bool store::reboot(const std::string_view Vm, const std::uint64_t Action,
                   const time_point Now) {
  settle(Now);
  if (!Vms.contains(Vm))
    return false;
  if (start(Action)) {
    setState(Vm, vm_state::Down);
    ++Reboots[std::string{Vm}];
    Running.push_back({Action, std::string{Vm}, Now + Options.RebootTime});
  }
  return true;
}

bool store::drain(const std::string_view Vm, const std::uint64_t Action,
                  const time_point Now) {
  settle(Now);
  if (!Vms.contains(Vm))
    return false;
  if (start(Action)) {
    setState(Vm, vm_state::Leaving);
    Actions[Action] = action_state::Done;
  }
  return true;
}

action_state store::action(const std::uint64_t Action, const time_point Now) {
  settle(Now);
  const auto Found = Actions.find(Action);
  return Found == Actions.end() ? action_state::Unknown : Found->second;
}

std::uint64_t store::reboots(const std::string_view Vm) const {
  const auto Found = Reboots.find(Vm);
  return Found == Reboots.end() ? 0 : Found->second;
}

// All reboots take the same time, so they end in the order of their start.
void store::settle(const time_point Now) {
  while (!Running.empty() && Running.front().Ends <= Now) {
    const running_action Ended = std::move(Running.front());
    Running.pop_front();
    if (const auto Found = Actions.find(Ended.Action); Found != Actions.end())
      Found->second = action_state::Done;
    const bool Again = std::ranges::any_of(
        Running, [&](const auto &Other) { return Other.Vm == Ended.Vm; });
    if (!Again)
      setState(Ended.Vm, vm_state::Live);
  }
}

} // namespace galenalink::platform
