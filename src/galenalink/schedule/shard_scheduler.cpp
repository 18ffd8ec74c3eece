#include "galenalink/schedule/shard_scheduler.hpp"
#include "galenalink/core/assert.hpp"
#include <algorithm>

namespace galenalink::schedule {

shard_scheduler::shard_scheduler(const settings &Settings)
    : Settings{Settings}, Queues{{.MaxItems = Settings.MaxItems,
                                  .MaxFlowItems = Settings.MaxTeamItems}},
      Health{Settings}, OverallRunTime{Settings.MinLongThreshold},
      LongThreshold{Settings.MaxLongThreshold}, EstimateThreshold{
                                                    LongThreshold} {}

slot_table::reconcile_result
shard_scheduler::reconcileAttempts(const vm_index Vm,
                                   const std::span<const attempt_id> Reported,
                                   const time_point Now) {
  std::uint32_t Released = 0;
  for (std::uint32_t Slot = 0; Slot < SlotsPerVm && Slots.contains(Vm);
       ++Slot) {
    const auto Attempt =
        Slots.foreignAttempt(slot_index{rawIndex(Vm) * SlotsPerVm + Slot});
    if (Attempt && std::find(Reported.begin(), Reported.end(), *Attempt) ==
                       Reported.end()) {
      releaseAttempt(*Attempt);
      ++Released;
    }
  }
  auto Result = Slots.reconcile(Vm, Reported);
  Result.Released += Released;
  for (std::uint32_t Slot = 0; Slot < SlotsPerVm && Slots.contains(Vm);
       ++Slot) {
    const slot_index Index{rawIndex(Vm) * SlotsPerVm + Slot};
    auto &Run = RunningAttempts[rawIndex(Index)];
    if (!Slots.foreignAttempt(Index) || Run.Foreign)
      continue;
    // The start time is unknown, so the run counts as long once it has been
    // observed for the threshold.
    Run.Slot = Index;
    Run.Foreign = true;
    OverrunTimers.add(Run, Now + LongThreshold);
  }
  return Result;
}

void shard_scheduler::advance(const time_point Now) {
  Queues.expire(Now, [&](queued_item &Item) {
    ExpiredItems.push_back({Item.Work.Id, Item.MayHaveStarted});
    Queues.erase(Item);
  });
  Health.advance(Now, [&](const vm_index Vm) { updateExclusion(Vm); });
  OverrunTimers.advance(Now, [&](timer &Timer) {
    handleOverrun(static_cast<running_attempt &>(Timer), Now);
  });
}

void shard_scheduler::handleOverrun(running_attempt &Run,
                                    const time_point Now) {
  Slots.markOverrun(Run.Slot);
  if (Run.Item == nullptr || Run.CountedAsLong)
    return;
  if (Now < Run.StartedAt + LongThreshold) {
    OverrunTimers.add(Run, Run.StartedAt + LongThreshold);
    return;
  }
  // Counts the run before it finishes, so that long work that was declared
  // short is recognised early.
  Run.CountedAsLong = true;
  observeClass(Run.Item->Work.Queue, work_class::Long);
}

void shard_scheduler::updateExclusion(const vm_index Vm) {
  if (Slots.contains(Vm))
    Slots.setExcluded(Vm, Health.isExcluded(Vm));
}

bool shard_scheduler::mayStartLong() const noexcept {
  const auto &Total = Slots.total();
  const auto Limit = maxLongSlots();
  if (Total.Long >= Limit)
    return false;
  // Overrun short work counts against the share of long work, but only up to
  // half of it, so that stragglers cannot prevent long work from starting.
  return Total.Long + Total.Overrun < Limit ||
         Total.Long < std::max(Limit / 2, 1U);
}

std::uint32_t shard_scheduler::maxLongSlots() const noexcept {
  const auto AllSlots = Slots.total().Vms * SlotsPerVm;
  if (ShortQueueCount == 0 || AllSlots == 0)
    return AllSlots;
  return std::max(
      1U, static_cast<std::uint32_t>(Settings.LongSlotShare * AllSlots));
}

std::uint32_t shard_scheduler::maxLongVms() const noexcept {
  return (maxLongSlots() + SlotsPerVm - 1) / SlotsPerVm;
}

std::optional<vm_index>
shard_scheduler::chooseVm(const queued_item &Item,
                          const work_class Class) const {
  const bool MayProbe =
      QueueRecords[rawIndex(Item.Work.Queue)].Settings.Idempotent ||
      !AnyIdempotent;
  if (const auto Vm = Health.probeDue();
      Vm && MayProbe && !Item.MayHaveStarted) {
    if (Slots.state(*Vm) == vm_state::Up && Slots.used(*Vm) < SlotsPerVm)
      return Vm;
  }
  if (Class == work_class::Short)
    return Slots.chooseShort(Item.triedVms());
  return mayStartLong() ? Slots.chooseLong(maxLongVms(), Item.triedVms())
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
  // Long work is placed first, within its bounded share; short work may use
  // all remaining slots.
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
  GALENALINK_ASSERT(Slot, "chosen VM has a free slot for a new attempt");
  if (!Item.MayHaveStarted && Item.Refusals == 0)
    RetryBudgets[Queue.ServiceIndex].recordFirstAttempt();
  Queues.start(Item, Attempt);
  auto &Run = RunningAttempts[rawIndex(*Slot)];
  Run.Slot = *Slot;
  Run.Item = &Item;
  Run.Foreign = false;
  Run.CountedAsLong = false;
  Run.Probe = Health.isEjected(Vm);
  if (Run.Probe)
    Health.probeStarted(Vm);
  Run.StartedAt = Now;
  OverrunTimers.add(Run, Now + overrunThreshold(Queue));
  return {Item.Work.Id, Attempt, Vm, Class};
}

duration shard_scheduler::overrunThreshold(const queue_record &Queue) const {
  return std::max(Settings.MinLongThreshold,
                  std::min(LongThreshold, 4 * Queue.RunTime.percentile90()));
}

void shard_scheduler::started(const attempt_id Attempt, const time_point Now) {
  const auto Slot = Slots.slotOf(Attempt);
  if (!Slot || RunningAttempts[rawIndex(*Slot)].Item == nullptr)
    return;
  auto &Run = RunningAttempts[rawIndex(*Slot)];
  Run.StartedAt = Now;
  OverrunTimers.add(
      Run,
      Now + overrunThreshold(QueueRecords[rawIndex(Run.Item->Work.Queue)]));
}

shard_scheduler::running_attempt *
shard_scheduler::releaseAttempt(const attempt_id Attempt) {
  const auto Slot = Slots.slotOf(Attempt);
  if (!Slot)
    return nullptr;
  // In a large pool each of these accesses is a cache miss; prefetching
  // overlaps them.
  auto &Run = RunningAttempts[rawIndex(*Slot)];
  __builtin_prefetch(&Run, 1);
  Health.prefetch(vmOf(*Slot));
  Slots.release(Attempt);
  if (Run.Item != nullptr) {
    __builtin_prefetch(Run.Item, 1);
    __builtin_prefetch(reinterpret_cast<const std::byte *>(Run.Item) + 64, 1);
  }
  OverrunTimers.remove(Run);
  Run.Foreign = false;
  return &Run;
}

attempt_end shard_scheduler::endItem(queued_item &Item, const vm_index Vm,
                                     const attempt_disposition Disposition) {
  const attempt_end Result{Disposition, Item.Work.Id, Vm};
  Queues.erase(Item);
  return Result;
}

attempt_end shard_scheduler::finished(const attempt_id Attempt,
                                      const time_point Now) {
  auto *Run = releaseAttempt(Attempt);
  if (Run == nullptr)
    return {};
  const auto Vm = vmOf(Run->Slot);
  auto *Item = std::exchange(Run->Item, nullptr);
  if (Item == nullptr)
    return {attempt_disposition::Done, {}, Vm};
  auto &Queue = QueueRecords[rawIndex(Item->Work.Queue)];
  const auto RunTime = Now - Run->StartedAt;
  Queue.RunTime.observe(RunTime);
  OverallRunTime.observe(RunTime);
  LongThreshold = computeLongThreshold();
  resetClassEstimates();
  if (!Run->CountedAsLong)
    observeClass(Item->Work.Queue, RunTime < LongThreshold ? work_class::Short
                                                           : work_class::Long);
  Queues.adjustCharge(*Item, RunTime - Item->Cost);
  Health.succeeded(Vm, Item->Work.Queue, Run->Probe);
  updateExclusion(Vm);
  return endItem(*Item, Vm, attempt_disposition::Done);
}

std::uint32_t
shard_scheduler::failuresOnHealthyVms(const queued_item &Item) const noexcept {
  std::uint32_t Count = 0;
  for (std::uint32_t Index = 0; Index < Item.TriedVmCount; ++Index) {
    if ((Item.FailedMask & (1U << Index)) != 0 &&
        !Health.isEjected(Item.TriedVms[Index]))
      ++Count;
  }
  return Count;
}

attempt_end shard_scheduler::failed(const attempt_id Attempt,
                                    const time_point Now) {
  auto *Run = releaseAttempt(Attempt);
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
  Queues.adjustCharge(*Item, (Now - Run->StartedAt) - Item->Cost);
  Health.failed(Vm, Queue, Run->Probe, Slots.upCount(), Now);
  updateExclusion(Vm);
  if (!Record.Settings.Idempotent)
    return endItem(*Item, Vm, attempt_disposition::Failed);
  if (failuresOnHealthyVms(*Item) >= Settings.MaxFailedVms) {
    std::array<vm_index, queued_item::MaxTriedVms> FailedVms{};
    std::size_t Count = 0;
    for (std::uint32_t Index = 0; Index < Item->TriedVmCount; ++Index) {
      if ((Item->FailedMask & (1U << Index)) != 0)
        FailedVms[Count++] = Item->TriedVms[Index];
    }
    Health.retractFailures({FailedVms.data(), Count}, Queue);
    for (std::size_t Index = 0; Index < Count; ++Index)
      updateExclusion(FailedVms[Index]);
    return endItem(*Item, Vm, attempt_disposition::NeverRuns);
  }
  if (Now >= Item->startBy() ||
      Item->TriedVmCount == queued_item::MaxTriedVms ||
      !RetryBudgets[Record.ServiceIndex].tryRetry())
    return endItem(*Item, Vm, attempt_disposition::Failed);
  Queues.requeue(*Item);
  return {attempt_disposition::Requeued, Item->Work.Id, Vm};
}

queued_item *shard_scheduler::takeUnstartedItem(running_attempt &Run) {
  auto *Item = std::exchange(Run.Item, nullptr);
  if (Item != nullptr)
    Queues.adjustCharge(*Item, -Item->Cost);
  return Item;
}

attempt_end shard_scheduler::endUnstartedItem(queued_item &Item,
                                              const vm_index Vm) {
  return endItem(Item, Vm,
                 Item.MayHaveStarted ? attempt_disposition::Failed
                                     : attempt_disposition::NotRun);
}

attempt_end shard_scheduler::refused(const attempt_id Attempt,
                                     const time_point Now) {
  auto *Run = releaseAttempt(Attempt);
  if (Run == nullptr)
    return {};
  const auto Vm = vmOf(Run->Slot);
  auto *Item = takeUnstartedItem(*Run);
  if (Item == nullptr)
    return {attempt_disposition::NotRun, {}, Vm};
  if (Run->Probe)
    Health.probeAbandoned(Vm, Now);
  else
    Health.refused(Vm, Now);
  updateExclusion(Vm);
  Item->addTriedVm(Vm, false);
  ++Item->Refusals;
  if (Now >= Item->startBy() || Item->Refusals >= Settings.MaxRefusals)
    return endUnstartedItem(*Item, Vm);
  Queues.requeue(*Item);
  return {attempt_disposition::Requeued, Item->Work.Id, Vm};
}

attempt_end shard_scheduler::abandoned(const attempt_id Attempt,
                                       const time_point Now) {
  auto *Run = releaseAttempt(Attempt);
  if (Run == nullptr)
    return {};
  const auto Vm = vmOf(Run->Slot);
  auto *Item = takeUnstartedItem(*Run);
  if (Item == nullptr)
    return {attempt_disposition::NotRun, {}, Vm};
  if (Run->Probe)
    Health.probeAbandoned(Vm, Now);
  return endUnstartedItem(*Item, Vm);
}

} // namespace galenalink::schedule
