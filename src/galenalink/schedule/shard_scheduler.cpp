#include "galenalink/schedule/shard_scheduler.hpp"
#include "galenalink/core/assert.hpp"
#include <algorithm>

namespace galenalink::schedule {

shard_scheduler::shard_scheduler(const settings &Settings)
    : Settings{Settings}, Queues{{.MaxItems = Settings.MaxItems,
                                  .MaxFlowItems = Settings.MaxTeamItems}},
      Health{Settings}, Typical{Settings.MinLongThreshold},
      LongAfter{Settings.MaxLongThreshold}, BeliefBasis{LongAfter} {}

slot_table::adoption
shard_scheduler::setOccupied(const vm_index Vm,
                             const std::span<const attempt_id> Reported,
                             const time_point Now) {
  std::uint32_t Released = 0;
  for (std::uint32_t Slot = 0; Slot < SlotsPerVm && Slots.known(Vm); ++Slot) {
    const auto Attempt =
        Slots.adopted(slot_index{rawIndex(Vm) * SlotsPerVm + Slot});
    if (Attempt && std::find(Reported.begin(), Reported.end(), *Attempt) ==
                       Reported.end()) {
      end(*Attempt);
      ++Released;
    }
  }
  auto Result = Slots.adopt(Vm, Reported);
  Result.Released += Released;
  for (std::uint32_t Slot = 0; Slot < SlotsPerVm && Slots.known(Vm); ++Slot) {
    const slot_index Index{rawIndex(Vm) * SlotsPerVm + Slot};
    auto &Run = Running[rawIndex(Index)];
    if (!Slots.adopted(Index) || Run.Adopted)
      continue;
    // The start is unknown; the work counts as long once it was seen so long.
    Run.Slot = Index;
    Run.Adopted = true;
    Overruns.add(Run, Now + LongAfter);
  }
  return Result;
}

void shard_scheduler::advance(const time_point Now) {
  Queues.expire(Now, [&](queued_item &Item) {
    Expired.push_back({Item.Work.Id, Item.MayHaveStarted});
    Queues.erase(Item);
  });
  Health.advance(Now, [&](const vm_index Vm) { hold(Vm); });
  Overruns.advance(
      Now, [&](timer &Timer) { overran(static_cast<running &>(Timer), Now); });
}

void shard_scheduler::overran(running &Run, const time_point Now) {
  Slots.markOverrun(Run.Slot);
  if (Run.Item == nullptr || Run.CountedLong)
    return;
  if (Now < Run.Since + LongAfter) {
    Overruns.add(Run, Run.Since + LongAfter);
    return;
  }
  // Long work that was declared short is recognised before it finishes.
  Run.CountedLong = true;
  believe(Run.Item->Work.Queue, work_class::Long);
}

void shard_scheduler::hold(const vm_index Vm) {
  if (Slots.known(Vm))
    Slots.setHeld(Vm, Health.held(Vm));
}

bool shard_scheduler::longAllowed() const noexcept {
  const auto &Total = Slots.total();
  const auto Most = longSlots();
  if (Total.Long >= Most)
    return false;
  // Short work that overran takes from the share of long work, but leaves it
  // half, so that stragglers cannot keep long work from starting.
  return Total.Long + Total.Overrun < Most ||
         Total.Long < std::max(Most / 2, 1U);
}

std::uint32_t shard_scheduler::longSlots() const noexcept {
  const auto All = Slots.total().Vms * SlotsPerVm;
  if (ShortQueues == 0 || All == 0)
    return All;
  return std::max(1U, static_cast<std::uint32_t>(Settings.LongSlotShare * All));
}

std::uint32_t shard_scheduler::longVms() const noexcept {
  return (longSlots() + SlotsPerVm - 1) / SlotsPerVm;
}

std::optional<vm_index>
shard_scheduler::chooseVm(const queued_item &Item,
                          const work_class Class) const {
  const bool Probes =
      QueueRecords[rawIndex(Item.Work.Queue)].Settings.Idempotent ||
      !AnyIdempotent;
  if (const auto Vm = Health.probeDue(); Vm && Probes && !Item.MayHaveStarted) {
    if (Slots.state(*Vm) == vm_state::Up && Slots.used(*Vm) < SlotsPerVm)
      return Vm;
  }
  if (Class == work_class::Short)
    return Slots.chooseShort(Item.triedVms());
  return longAllowed() ? Slots.chooseLong(longVms(), Item.triedVms())
                       : std::nullopt;
}

std::optional<dispatch> shard_scheduler::tryPlace(queued_item *Item,
                                                  const attempt_id Attempt,
                                                  const time_point Now) {
  if (Item == nullptr)
    return std::nullopt;
  const auto Vm = chooseVm(*Item, Queues.classOf(Item->Work.Queue));
  if (!Vm)
    return std::nullopt;
  return place(*Item, *Vm, Attempt, Now);
}

std::optional<dispatch> shard_scheduler::next(const attempt_id Attempt,
                                              const time_point Now) {
  Slots.prefetch(Attempt);
  advance(Now);
  if (Slots.total().Free == 0 && !Health.probeDue())
    return std::nullopt;
  std::optional<vm_index> Vm;
  auto *Requeued = Queues.findRequeued([&](const queued_item &Item) {
    Vm = chooseVm(Item, Queues.classOf(Item.Work.Queue));
    return Vm.has_value();
  });
  if (Requeued != nullptr)
    return place(*Requeued, *Vm, Attempt, Now);
  // Long work goes first into its bounded share; all the rest is for short
  // work.
  if (const auto Placed =
          tryPlace(Queues.front(work_class::Long), Attempt, Now))
    return Placed;
  return tryPlace(Queues.front(work_class::Short), Attempt, Now);
}

dispatch shard_scheduler::place(queued_item &Item, const vm_index Vm,
                                const attempt_id Attempt,
                                const time_point Now) {
  auto &Queue = QueueRecords[rawIndex(Item.Work.Queue)];
  const auto Class = Queues.classOf(Item.Work.Queue);
  const auto Slot = Slots.take(Vm, Attempt, Class);
  GALENALINK_ASSERT(Slot, "a new attempt gets a slot of a VM that was chosen");
  if (!Item.MayHaveStarted && Item.Refusals == 0)
    Budgets[Queue.Service].recordFirstAttempt();
  Queues.start(Item, Attempt);
  auto &Run = Running[rawIndex(*Slot)];
  Run.Slot = *Slot;
  Run.Item = &Item;
  Run.Adopted = false;
  Run.CountedLong = false;
  Run.Probe = Health.ejected(Vm);
  if (Run.Probe)
    Health.probeStarted(Vm);
  Run.Since = Now;
  Overruns.add(Run, Now + overrunAfter(Queue));
  return {Item.Work.Id, Attempt, Vm, Class};
}

duration shard_scheduler::overrunAfter(const queue_record &Queue) const {
  return std::max(Settings.MinLongThreshold,
                  std::min(LongAfter, 4 * Queue.RunTime.percentile90()));
}

void shard_scheduler::started(const attempt_id Attempt, const time_point Now) {
  const auto Slot = Slots.slotOf(Attempt);
  if (!Slot || Running[rawIndex(*Slot)].Item == nullptr)
    return;
  auto &Run = Running[rawIndex(*Slot)];
  Run.Since = Now;
  Overruns.add(
      Run, Now + overrunAfter(QueueRecords[rawIndex(Run.Item->Work.Queue)]));
}

shard_scheduler::running *shard_scheduler::end(const attempt_id Attempt) {
  const auto Slot = Slots.slotOf(Attempt);
  if (!Slot)
    return nullptr;
  // In a large pool each of these is a cache miss; they are loaded together.
  auto &Run = Running[rawIndex(*Slot)];
  __builtin_prefetch(&Run, 1);
  Health.prefetch(vmOf(*Slot));
  Slots.release(Attempt);
  if (Run.Item != nullptr) {
    __builtin_prefetch(Run.Item, 1);
    __builtin_prefetch(reinterpret_cast<const std::byte *>(Run.Item) + 64, 1);
  }
  Overruns.remove(Run);
  Run.Adopted = false;
  return &Run;
}

attempt_end shard_scheduler::giveUp(queued_item &Item, const vm_index Vm,
                                    const attempt_disposition Disposition) {
  const attempt_end Result{Disposition, Item.Work.Id, Vm};
  Queues.erase(Item);
  return Result;
}

attempt_end shard_scheduler::finished(const attempt_id Attempt,
                                      const time_point Now) {
  auto *Run = end(Attempt);
  if (Run == nullptr)
    return {};
  const auto Vm = vmOf(Run->Slot);
  auto *Item = std::exchange(Run->Item, nullptr);
  if (Item == nullptr)
    return {attempt_disposition::Done, {}, Vm};
  auto &Queue = QueueRecords[rawIndex(Item->Work.Queue)];
  const auto Time = Now - Run->Since;
  Queue.RunTime.observe(Time);
  Typical.observe(Time);
  LongAfter = longAfter();
  rebaseBeliefs();
  if (!Run->CountedLong)
    believe(Item->Work.Queue,
            Time < LongAfter ? work_class::Short : work_class::Long);
  Queues.adjustCharge(*Item, Time - Item->Cost);
  Health.succeeded(Vm, Item->Work.Queue, Run->Probe);
  hold(Vm);
  return giveUp(*Item, Vm, attempt_disposition::Done);
}

std::uint32_t
shard_scheduler::blamedVms(const queued_item &Item) const noexcept {
  std::uint32_t Count = 0;
  for (std::uint32_t Index = 0; Index < Item.TriedVmCount; ++Index) {
    if ((Item.FailedMask & (1U << Index)) != 0 &&
        !Health.ejected(Item.TriedVms[Index]))
      ++Count;
  }
  return Count;
}

attempt_end shard_scheduler::failed(const attempt_id Attempt,
                                    const time_point Now) {
  auto *Run = end(Attempt);
  if (Run == nullptr)
    return {};
  const auto Vm = vmOf(Run->Slot);
  auto *Item = std::exchange(Run->Item, nullptr);
  if (Item == nullptr)
    return {attempt_disposition::Failed, {}, Vm};
  const auto Queue = Item->Work.Queue;
  const auto &Record = QueueRecords[rawIndex(Queue)];
  Item->MayHaveStarted = true;
  Item->addTriedVm(Vm, true);
  Queues.adjustCharge(*Item, (Now - Run->Since) - Item->Cost);
  Health.failed(Vm, Queue, Run->Probe, Slots.up(), Now);
  hold(Vm);
  if (!Record.Settings.Idempotent)
    return giveUp(*Item, Vm, attempt_disposition::Failed);
  if (blamedVms(*Item) >= Settings.MaxFailedVms) {
    std::array<vm_index, queued_item::MaxTriedVms> Blamed{};
    std::size_t Count = 0;
    for (std::uint32_t Index = 0; Index < Item->TriedVmCount; ++Index) {
      if ((Item->FailedMask & (1U << Index)) != 0)
        Blamed[Count++] = Item->TriedVms[Index];
    }
    Health.forgive({Blamed.data(), Count}, Queue);
    for (std::size_t Index = 0; Index < Count; ++Index)
      hold(Blamed[Index]);
    return giveUp(*Item, Vm, attempt_disposition::NeverRuns);
  }
  if (Now >= Item->startBy() ||
      Item->TriedVmCount == queued_item::MaxTriedVms ||
      !Budgets[Record.Service].tryRetry())
    return giveUp(*Item, Vm, attempt_disposition::Failed);
  Queues.requeue(*Item);
  return {attempt_disposition::Requeued, Item->Work.Id, Vm};
}

attempt_end shard_scheduler::refused(const attempt_id Attempt,
                                     const time_point Now) {
  auto *Run = end(Attempt);
  if (Run == nullptr)
    return {};
  const auto Vm = vmOf(Run->Slot);
  auto *Item = std::exchange(Run->Item, nullptr);
  if (Item == nullptr)
    return {attempt_disposition::NotRun, {}, Vm};
  Queues.adjustCharge(*Item, -Item->Cost);
  if (Run->Probe)
    Health.probeAbandoned(Vm, Now);
  else
    Health.refused(Vm, Now);
  hold(Vm);
  Item->addTriedVm(Vm, false);
  ++Item->Refusals;
  if (Now >= Item->startBy() || Item->Refusals >= Settings.MaxRefusals)
    return giveUp(*Item, Vm,
                  Item->MayHaveStarted ? attempt_disposition::Failed
                                       : attempt_disposition::NotRun);
  Queues.requeue(*Item);
  return {attempt_disposition::Requeued, Item->Work.Id, Vm};
}

attempt_end shard_scheduler::abandoned(const attempt_id Attempt,
                                       const time_point Now) {
  auto *Run = end(Attempt);
  if (Run == nullptr)
    return {};
  const auto Vm = vmOf(Run->Slot);
  auto *Item = std::exchange(Run->Item, nullptr);
  if (Item == nullptr)
    return {attempt_disposition::NotRun, {}, Vm};
  Queues.adjustCharge(*Item, -Item->Cost);
  if (Run->Probe)
    Health.probeAbandoned(Vm, Now);
  return giveUp(*Item, Vm,
                Item->MayHaveStarted ? attempt_disposition::Failed
                                     : attempt_disposition::NotRun);
}

} // namespace galenalink::schedule
