#include "galenalink/schedule/slot_table.hpp"
#include "galenalink/core/assert.hpp"
#include <algorithm>
#include <bit>

namespace galenalink::schedule {

namespace {

[[nodiscard]] std::uint32_t bits(const std::uint8_t Mask) noexcept {
  return static_cast<std::uint32_t>(std::popcount(Mask));
}

template <typename List>
[[nodiscard]] std::optional<vm_index>
firstOf(const List &Vms, const std::span<const vm_index> Avoid) noexcept {
  for (const auto &Vm : Vms) {
    if (std::find(Avoid.begin(), Avoid.end(), Vm.Index) == Avoid.end())
      return Vm.Index;
  }
  return std::nullopt;
}

} // namespace

slot_table::vm_record &slot_table::at(const vm_index Vm) {
  GALENALINK_ASSERT(known(Vm), "VM index in use");
  return Vms[rawIndex(Vm)];
}

const slot_table::vm_record &slot_table::at(const vm_index Vm) const {
  GALENALINK_ASSERT(known(Vm), "VM index in use");
  return Vms[rawIndex(Vm)];
}

void slot_table::count(const vm_record &Vm, const bool Add) noexcept {
  const auto Change = [Add](std::uint32_t &Value, const std::uint32_t By) {
    Value = Add ? Value + By : Value - By;
  };
  Change(Total.Vms, 1);
  Change(Total.Free, SlotsPerVm - bits(Vm.Taken));
  Change(Total.Long, bits(Vm.Long));
  Change(Total.Overrun, bits(Vm.Overrun));
  Change(Total.LongVms, Vm.Long != 0 ? 1 : 0);
}

void slot_table::link(vm_record &Vm) noexcept {
  if (!Vm.Known || Vm.Held || Vm.State != vm_state::Up)
    return;
  count(Vm, true);
  Index[Vm.Long != 0 ? 1 : 0][SlotsPerVm - bits(Vm.Taken)].push_back(Vm);
}

void slot_table::unlink(vm_record &Vm) noexcept {
  if (!Vm.is_linked())
    return;
  count(Vm, false);
  vm_list::node_algorithms::unlink(vm_list::value_traits::to_node_ptr(Vm));
  vm_list::node_algorithms::init(vm_list::value_traits::to_node_ptr(Vm));
}

vm_index slot_table::add(const std::string_view Name,
                         const std::uint64_t Epoch) {
  if (const auto Found = find(Name)) {
    auto &Vm = at(*Found);
    auto &Known = Details[rawIndex(*Found)].Epoch;
    if (Epoch < Known)
      return *Found;
    unlink(Vm);
    Known = Epoch;
    changeState(Vm, vm_state::Up);
    Vm.Removed = false;
    link(Vm);
    return *Found;
  }
  if (Unused.empty()) {
    Unused.push_back(vm_index{limit()});
    Vms.emplace_back();
    Details.emplace_back();
    ByAttempt.reserve(Vms.size() * SlotsPerVm);
  }
  const auto Chosen = Unused.back();
  Unused.pop_back();
  auto &Vm = Vms[rawIndex(Chosen)];
  Vm = vm_record{};
  Vm.Index = Chosen;
  Vm.Known = true;
  auto &Detail = Details[rawIndex(Chosen)];
  Detail = {.Epoch = Epoch, .Name = std::string{Name}};
  ++Up;
  ByName.emplace(Detail.Name, Chosen);
  link(Vm);
  return Chosen;
}

void slot_table::remove(const vm_index Vm) {
  auto &Record = at(Vm);
  unlink(Record);
  changeState(Record, vm_state::Leaving);
  Record.Removed = true;
  forgetIfUnused(Record);
}

void slot_table::changeState(vm_record &Vm, const vm_state State) noexcept {
  Up -= Vm.State == vm_state::Up ? 1 : 0;
  Up += State == vm_state::Up ? 1 : 0;
  Vm.State = State;
}

void slot_table::forgetIfUnused(vm_record &Vm) {
  if (!Vm.Removed || Vm.Taken != 0)
    return;
  ByName.erase(Details[rawIndex(Vm.Index)].Name);
  Vm.Known = false;
  Unused.push_back(Vm.Index);
}

void slot_table::setState(const vm_index Vm, const vm_state State) {
  auto &Record = at(Vm);
  if (Record.Removed)
    return;
  unlink(Record);
  changeState(Record, State);
  link(Record);
}

void slot_table::setHeld(const vm_index Vm, const bool Held) {
  auto &Record = at(Vm);
  if (Record.Held == Held)
    return;
  unlink(Record);
  Record.Held = Held;
  link(Record);
}

std::optional<vm_index>
slot_table::chooseShort(const std::span<const vm_index> Avoid) const noexcept {
  for (const auto &Group : Index) {
    for (auto Free = SlotsPerVm; Free > 0; --Free) {
      if (const auto Vm = firstOf(Group[Free], Avoid))
        return Vm;
    }
  }
  return std::nullopt;
}

std::optional<vm_index>
slot_table::chooseLong(const std::uint32_t MaxLongVms,
                       const std::span<const vm_index> Avoid) const noexcept {
  for (std::uint32_t Free = 1; Free <= SlotsPerVm; ++Free) {
    if (const auto Vm = firstOf(Index[1][Free], Avoid))
      return Vm;
  }
  if (Total.LongVms >= MaxLongVms)
    return std::nullopt;
  for (auto Free = SlotsPerVm; Free > 0; --Free) {
    if (const auto Vm = firstOf(Index[0][Free], Avoid))
      return Vm;
  }
  return std::nullopt;
}

std::optional<slot_index> slot_table::take(const vm_index Vm,
                                           const attempt_id Attempt,
                                           const work_class Class) {
  auto &Record = at(Vm);
  const auto Slot = static_cast<std::uint32_t>(std::countr_one(Record.Taken));
  if (Slot >= SlotsPerVm)
    return std::nullopt;
  const slot_index Taken{rawIndex(Vm) * SlotsPerVm + Slot};
  if (!ByAttempt.insert(Attempt, rawIndex(Taken)))
    return std::nullopt;
  const auto Bit = static_cast<mask>(1U << Slot);
  unlink(Record);
  Record.Taken |= Bit;
  if (Class == work_class::Long)
    Record.Long |= Bit;
  Details[rawIndex(Vm)].Attempts[Slot] = Attempt;
  link(Record);
  return Taken;
}

std::optional<slot_index> slot_table::release(const attempt_id Attempt) {
  const auto Found = ByAttempt.erase(Attempt);
  if (!Found)
    return std::nullopt;
  const slot_index Slot{*Found};
  auto &Record = at(vmOf(Slot));
  const auto Keep = static_cast<mask>(~(1U << (rawIndex(Slot) % SlotsPerVm)));
  unlink(Record);
  Record.Taken &= Keep;
  Record.Long &= Keep;
  Record.Overrun &= Keep;
  Record.Adopted &= Keep;
  link(Record);
  forgetIfUnused(Record);
  return Slot;
}

void slot_table::markOverrun(const slot_index Slot) noexcept {
  auto &Record = at(vmOf(Slot));
  const auto Bit = static_cast<mask>(1U << (rawIndex(Slot) % SlotsPerVm));
  if ((Record.Taken & Bit) == 0 || (Record.Long & Bit) != 0)
    return;
  unlink(Record);
  Record.Overrun |= Bit;
  link(Record);
}

slot_table::adoption
slot_table::adopt(const vm_index Vm,
                  const std::span<const attempt_id> Running) {
  adoption Result;
  for (std::uint32_t Slot = 0; Slot < SlotsPerVm && known(Vm); ++Slot) {
    const auto Attempt = adopted(slot_index{rawIndex(Vm) * SlotsPerVm + Slot});
    if (Attempt &&
        std::find(Running.begin(), Running.end(), *Attempt) == Running.end()) {
      release(*Attempt);
      ++Result.Released;
    }
  }
  for (const auto Attempt : Running) {
    if (!known(Vm) || slotOf(Attempt))
      continue;
    if (const auto Slot = take(Vm, Attempt, work_class::Short)) {
      Vms[rawIndex(Vm)].Adopted |=
          static_cast<mask>(1U << (rawIndex(*Slot) % SlotsPerVm));
      ++Result.Taken;
    } else {
      ++Result.Excess;
    }
  }
  return Result;
}

std::optional<attempt_id>
slot_table::adopted(const slot_index Slot) const noexcept {
  const auto &Record = at(vmOf(Slot));
  const auto Position = rawIndex(Slot) % SlotsPerVm;
  return (Record.Adopted & (1U << Position)) != 0
             ? std::optional{Details[rawIndex(vmOf(Slot))].Attempts[Position]}
             : std::nullopt;
}

std::optional<vm_index>
slot_table::find(const std::string_view Name) const noexcept {
  const auto Found = ByName.find(Name);
  return Found == ByName.end() ? std::nullopt : std::optional{Found->second};
}

std::optional<slot_index>
slot_table::slotOf(const attempt_id Attempt) const noexcept {
  const auto Found = ByAttempt.find(Attempt);
  return Found ? std::optional{slot_index{*Found}} : std::nullopt;
}

std::uint32_t slot_table::used(const vm_index Vm) const noexcept {
  return bits(at(Vm).Taken);
}
vm_state slot_table::state(const vm_index Vm) const noexcept {
  return at(Vm).State;
}
const std::string &slot_table::name(const vm_index Vm) const noexcept {
  GALENALINK_ASSERT(known(Vm), "VM index in use");
  return Details[rawIndex(Vm)].Name;
}
std::uint64_t slot_table::epoch(const vm_index Vm) const noexcept {
  GALENALINK_ASSERT(known(Vm), "VM index in use");
  return Details[rawIndex(Vm)].Epoch;
}
bool slot_table::known(const vm_index Vm) const noexcept {
  return rawIndex(Vm) < Vms.size() && Vms[rawIndex(Vm)].Known;
}
std::uint32_t slot_table::size() const noexcept {
  return static_cast<std::uint32_t>(Vms.size() - Unused.size());
}
std::uint32_t slot_table::limit() const noexcept {
  return static_cast<std::uint32_t>(Vms.size());
}

} // namespace galenalink::schedule
