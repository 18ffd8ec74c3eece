#include "galenalink/schedule/shard_scheduler.hpp"
#include <algorithm>
#include <cmath>

namespace galenalink::schedule {

namespace {

/** Retry time while no VM is up; recovery takes seconds. */
constexpr duration NoVmRetry{std::chrono::seconds{1}};

[[nodiscard]] duration scaled(const duration Time, const double By) noexcept {
  return duration{
      static_cast<duration::rep>(static_cast<double>(Time.count()) * By)};
}

} // namespace

std::uint32_t
shard_scheduler::slotsForClass(const work_class Class) const noexcept {
  if (Class == work_class::Long)
    return std::max(maxLongSlots(), 1U);
  const auto &Total = Slots.total();
  const auto AllSlots = Total.Vms * SlotsPerVm;
  const auto UsedByLong = Total.Long + Total.Overrun;
  return AllSlots > UsedByLong ? AllSlots - UsedByLong : 1;
}

duration shard_scheduler::estimateFlowWait(const queue_set::flow_index Flow,
                                           const work_class Class) const {
  // The flow's own backlog drains at its fair share of the slots, but no later
  // than the whole backlog of the class.
  const auto Rate = 1.0 / slotsForClass(Class);
  return std::min(scaled(Queues.backlog(Flow), Rate / Queues.share(Flow)),
                  scaled(Queues.backlog(Class), Rate));
}

duration shard_scheduler::estimateWait(const queue_index Queue,
                                       const team_index Team) {
  return estimateFlowWait(Queues.findOrCreateFlow(Queue, Team),
                          Queues.classOf(Queue));
}

duration shard_scheduler::retryAfter(queue_record &Queue,
                                     const work_class Class,
                                     const duration Excess,
                                     const time_point Now) {
  // Spreads the retries of refused callers at the rate at which the queue
  // drains. With the same retry time, all callers would return together and be
  // refused again.
  const auto Earliest = Now + std::max(Excess, Settings.MinRetryAfter);
  const auto SlotInterval =
      scaled(Queue.RunTime.mean(), 1.0 / slotsForClass(Class));
  Queue.LastRetryAt =
      std::min(std::max(Queue.LastRetryAt, Earliest) + SlotInterval,
               Now + Settings.MaxRetryAfter);
  return Queue.LastRetryAt - Now;
}

duration shard_scheduler::maxAdmissibleWait(queue_record &Queue,
                                            const duration Wait,
                                            const duration UntilStart,
                                            const time_point Now) const {
  // A persistently long queue has no higher throughput than a short one, but
  // delays all of its work. During a peak the wait may use the whole time until
  // the latest start. If it stays above an eighth of that time for longer than
  // a peak lasts, the limit is a quarter; see Nichols and Jacobson,
  // "Controlling queue delay", ACM Queue 10(5), 2012.
  if (Wait <= UntilStart / 8)
    Queue.LastShortWaitAt = Now;
  return Now - Queue.LastShortWaitAt > Settings.MaxPeakDuration ? UntilStart / 4
                                                                : UntilStart;
}

admission shard_scheduler::enqueue(const work_item &Work,
                                   const time_point Now) {
  Queues.prefetch(Work.Id);
  advance(Now);
  if (rawIndex(Work.Queue) >= QueueRecords.size() ||
      !QueueRecords[rawIndex(Work.Queue)].AcceptsWork ||
      rawIndex(Work.Team) >= TeamRecords.size())
    return {refusal::NoSuchQueue, {}};
  if (Queues.find(Work.Id) != nullptr)
    return {refusal::KeyReused, {}};
  if (Work.Deadline <= Now)
    return {refusal::DeadlineUnreachable, {}};
  if (Slots.upCount() == 0)
    return {refusal::NoCapacity, NoVmRetry};
  auto &Queue = QueueRecords[rawIndex(Work.Queue)];
  const auto Class = Queues.classOf(Work.Queue);
  const auto Flow = Queues.findOrCreateFlow(Work.Queue, Work.Team);
  // The deadline applies to the result of short work, but only to the start of
  // long work, whose caller gets a handle. Short work reserves the 90th
  // percentile of its run time: with the median, half of the items that start
  // at the latest time would miss their deadlines, and under overload all items
  // start at the latest time. At most half of the time is reserved, because a
  // wrong estimate could otherwise refuse all work and never be corrected.
  auto StartBy = Work.Deadline;
  if (Class == work_class::Short)
    StartBy -=
        std::min(Queue.RunTime.percentile90(), (Work.Deadline - Now) / 2);
  const auto Wait = estimateFlowWait(Flow, Class);
  const auto MaxWait = maxAdmissibleWait(Queue, Wait, StartBy - Now, Now);
  if (Wait >= MaxWait)
    return {refusal::DeadlineUnreachable,
            retryAfter(Queue, Class, Wait - MaxWait, Now)};
  if (const auto Reason = Queues.checkCapacity(Flow); Reason != refusal::None)
    return {Reason, retryAfter(Queue, Class, {}, Now)};
  Queues.insert(Work, Flow, Queue.RunTime.mean(), StartBy);
  return {};
}

cancel_result shard_scheduler::cancel(const item_id Id) {
  auto *Item = Queues.find(Id);
  if (Item == nullptr)
    return {};
  if (!Item->Queued) {
    const auto Slot = Slots.slotOf(Item->Attempt);
    return {cancel_state::Running, true, Item->Attempt,
            Slot ? vmOf(*Slot) : vm_index{}};
  }
  const bool MayHaveStarted = Item->MayHaveStarted;
  Queues.erase(*Item);
  return {cancel_state::Removed, MayHaveStarted, {}, {}};
}

void shard_scheduler::expire(const time_point Now,
                             std::vector<expired_item> &Expired) {
  advance(Now);
  Expired.insert(Expired.end(), this->ExpiredItems.begin(),
                 this->ExpiredItems.end());
  this->ExpiredItems.clear();
}

} // namespace galenalink::schedule
