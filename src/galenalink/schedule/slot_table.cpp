#include "galenalink/schedule/slot_table.hpp"
#include "galenalink/core/assert.hpp"
#include <algorithm>
#include <bit>

namespace galenalink::schedule {

namespace {

[[nodiscard]] std::uint32_t slotCount(const std::uint8_t Mask) noexcept {
  return static_cast<std::uint32_t>(std::popcount(Mask));
}

template <typename List>
[[nodiscard]] std::optional<vm_index>
findFirst(const List &Vms,
          const std::span<const vm_index> AvoidedVms) noexcept {
  for (const auto &Vm : Vms) {
    if (std::find(AvoidedVms.begin(), AvoidedVms.end(), Vm.Index) ==
        AvoidedVms.end())
      return Vm.Index;
  }
  return std::nullopt;
}

} // namespace

slot_table::vm_record &slot_table::at(const vm_index Vm) {
  GALENALINK_ASSERT(contains(Vm), "VM index in use");
  return Vms[rawIndex(Vm)];
}

const slot_table::vm_record &slot_table::at(const vm_index Vm) const {
  GALENALINK_ASSERT(contains(Vm), "VM index in use");
  return Vms[rawIndex(Vm)];
}

void slot_table::updateTotals(const vm_record &Vm, const bool Add) noexcept {
  const auto Change = [Add](std::uint32_t &Value, const std::uint32_t By) {
    Value = Add ? Value + By : Value - By;
  };
  Change(Total.Vms, 1);
  Change(Total.Free, SlotsPerVm - slotCount(Vm.Used));
  Change(Total.Long, slotCount(Vm.Long));
  Change(Total.Overrun, slotCount(Vm.Overrun));
  Change(Total.LongVms, Vm.Long != 0 ? 1 : 0);
}

void slot_table::addToIndex(vm_record &Vm) noexcept {
  if (!Vm.InUse || Vm.Excluded || Vm.State != vm_state::Up)
    return;
  updateTotals(Vm, true);
  ByFreeSlots[Vm.Long != 0 ? 1 : 0][SlotsPerVm - slotCount(Vm.Used)].push_back(
      Vm);
}

void slot_table::unlink(vm_record &Vm) noexcept {
  if (!Vm.is_linked())
    return;
  updateTotals(Vm, false);
  vm_list::node_algorithms::unlink(vm_list::value_traits::to_node_ptr(Vm));
  vm_list::node_algorithms::init(vm_list::value_traits::to_node_ptr(Vm));
}

vm_index slot_table::add(const std::string_view Name,
                         const std::uint64_t Epoch) {
  if (const auto Found = find(Name)) {
    auto &Vm = at(*Found);
    auto &KnownEpoch = Details[rawIndex(*Found)].Epoch;
    if (Epoch < KnownEpoch)
      return *Found;
    unlink(Vm);
    KnownEpoch = Epoch;
    changeState(Vm, vm_state::Up);
    Vm.Removed = false;
    addToIndex(Vm);
    return *Found;
  }
  if (FreeIndexes.empty()) {
    FreeIndexes.push_back(vm_index{indexLimit()});
    Vms.emplace_back();
    Details.emplace_back();
    ByAttempt.reserve(Vms.size() * SlotsPerVm);
  }
  const auto NewIndex = FreeIndexes.back();
  FreeIndexes.pop_back();
  auto &Vm = Vms[rawIndex(NewIndex)];
  Vm = vm_record{};
  Vm.Index = NewIndex;
  Vm.InUse = true;
  auto &Detail = Details[rawIndex(NewIndex)];
  Detail = {.Epoch = Epoch, .Name = std::string{Name}};
  ++UpVms;
  ByName.emplace(Detail.Name, NewIndex);
  addToIndex(Vm);
  return NewIndex;
}

void slot_table::remove(const vm_index Vm) {
  auto &Record = at(Vm);
  unlink(Record);
  changeState(Record, vm_state::Leaving);
  Record.Removed = true;
  eraseIfReleased(Record);
}

void slot_table::changeState(vm_record &Vm, const vm_state State) noexcept {
  UpVms -= Vm.State == vm_state::Up ? 1 : 0;
  UpVms += State == vm_state::Up ? 1 : 0;
  Vm.State = State;
}

void slot_table::eraseIfReleased(vm_record &Vm) {
  if (!Vm.Removed || Vm.Used != 0)
    return;
  ByName.erase(Details[rawIndex(Vm.Index)].Name);
  Vm.InUse = false;
  FreeIndexes.push_back(Vm.Index);
}

void slot_table::setState(const vm_index Vm, const vm_state State) {
  auto &Record = at(Vm);
  if (Record.Removed)
    return;
  unlink(Record);
  changeState(Record, State);
  addToIndex(Record);
}

void slot_table::setExcluded(const vm_index Vm, const bool Excluded) {
  auto &Record = at(Vm);
  if (Record.Excluded == Excluded)
    return;
  unlink(Record);
  Record.Excluded = Excluded;
  addToIndex(Record);
}

std::optional<vm_index> slot_table::chooseShort(
    const std::span<const vm_index> AvoidedVms) const noexcept {
  for (const auto &Group : ByFreeSlots) {
    for (auto Free = SlotsPerVm; Free > 0; --Free) {
      if (const auto Vm = findFirst(Group[Free], AvoidedVms))
        return Vm;
    }
  }
  return std::nullopt;
}

std::optional<vm_index> slot_table::chooseLong(
    const std::uint32_t MaxLongVms,
    const std::span<const vm_index> AvoidedVms) const noexcept {
  for (std::uint32_t Free = 1; Free <= SlotsPerVm; ++Free) {
    if (const auto Vm = findFirst(ByFreeSlots[1][Free], AvoidedVms))
      return Vm;
  }
  if (Total.LongVms >= MaxLongVms)
    return std::nullopt;
  for (auto Free = SlotsPerVm; Free > 0; --Free) {
    if (const auto Vm = findFirst(ByFreeSlots[0][Free], AvoidedVms))
      return Vm;
  }
  return std::nullopt;
}

std::optional<slot_index> slot_table::take(const vm_index Vm,
                                           const attempt_id Attempt,
                                           const work_class Class) {
  auto &Record = at(Vm);
  const auto Slot = static_cast<std::uint32_t>(std::countr_one(Record.Used));
  if (Slot >= SlotsPerVm)
    return std::nullopt;
  const slot_index Acquired{rawIndex(Vm) * SlotsPerVm + Slot};
  if (!ByAttempt.insert(Attempt, rawIndex(Acquired)))
    return std::nullopt;
  const auto Bit = static_cast<slot_mask>(1U << Slot);
  unlink(Record);
  Record.Used |= Bit;
  if (Class == work_class::Long)
    Record.Long |= Bit;
  Details[rawIndex(Vm)].Attempts[Slot] = Attempt;
  addToIndex(Record);
  return Acquired;
}

std::optional<slot_index> slot_table::release(const attempt_id Attempt) {
  const auto Found = ByAttempt.erase(Attempt);
  if (!Found)
    return std::nullopt;
  const slot_index Slot{*Found};
  auto &Record = at(vmOf(Slot));
  const auto KeepMask =
      static_cast<slot_mask>(~(1U << (rawIndex(Slot) % SlotsPerVm)));
  unlink(Record);
  Record.Used &= KeepMask;
  Record.Long &= KeepMask;
  Record.Overrun &= KeepMask;
  Record.Foreign &= KeepMask;
  addToIndex(Record);
  eraseIfReleased(Record);
  return Slot;
}

void slot_table::markOverrun(const slot_index Slot) noexcept {
  auto &Record = at(vmOf(Slot));
  const auto Bit = static_cast<slot_mask>(1U << (rawIndex(Slot) % SlotsPerVm));
  if ((Record.Used & Bit) == 0 || (Record.Long & Bit) != 0)
    return;
  unlink(Record);
  Record.Overrun |= Bit;
  addToIndex(Record);
}

slot_table::reconcile_result
slot_table::reconcile(const vm_index Vm,
                      const std::span<const attempt_id> Running) {
  reconcile_result Result;
  for (std::uint32_t Slot = 0; Slot < SlotsPerVm && contains(Vm); ++Slot) {
    const auto Attempt =
        foreignAttempt(slot_index{rawIndex(Vm) * SlotsPerVm + Slot});
    if (Attempt &&
        std::find(Running.begin(), Running.end(), *Attempt) == Running.end()) {
      release(*Attempt);
      ++Result.Released;
    }
  }
  for (const auto Attempt : Running) {
    if (!contains(Vm) || slotOf(Attempt))
      continue;
    if (const auto Slot = take(Vm, Attempt, work_class::Short)) {
      Vms[rawIndex(Vm)].Foreign |=
          static_cast<slot_mask>(1U << (rawIndex(*Slot) % SlotsPerVm));
      ++Result.Added;
    } else {
      ++Result.Excess;
    }
  }
  return Result;
}

std::optional<attempt_id>
slot_table::foreignAttempt(const slot_index Slot) const noexcept {
  const auto &Record = at(vmOf(Slot));
  const auto Bit = rawIndex(Slot) % SlotsPerVm;
  return (Record.Foreign & (1U << Bit)) != 0
             ? std::optional{Details[rawIndex(vmOf(Slot))].Attempts[Bit]}
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
  return slotCount(at(Vm).Used);
}
vm_state slot_table::state(const vm_index Vm) const noexcept {
  return at(Vm).State;
}
const std::string &slot_table::name(const vm_index Vm) const noexcept {
  GALENALINK_ASSERT(contains(Vm), "VM index in use");
  return Details[rawIndex(Vm)].Name;
}
std::uint64_t slot_table::epoch(const vm_index Vm) const noexcept {
  GALENALINK_ASSERT(contains(Vm), "VM index in use");
  return Details[rawIndex(Vm)].Epoch;
}
bool slot_table::contains(const vm_index Vm) const noexcept {
  return rawIndex(Vm) < Vms.size() && Vms[rawIndex(Vm)].InUse;
}
std::uint32_t slot_table::size() const noexcept {
  return static_cast<std::uint32_t>(Vms.size() - FreeIndexes.size());
}
std::uint32_t slot_table::indexLimit() const noexcept {
  return static_cast<std::uint32_t>(Vms.size());
}

} // namespace galenalink::schedule
