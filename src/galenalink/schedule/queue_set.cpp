#include "galenalink/schedule/queue_set.hpp"
#include "galenalink/core/assert.hpp"
#include <algorithm>

namespace galenalink::schedule {

namespace {

constexpr std::array Classes{work_class::Short, work_class::Long};

[[nodiscard]] constexpr std::size_t
classIndex(const work_class Class) noexcept {
  return static_cast<std::size_t>(Class);
}

[[nodiscard]] double toCost(const duration Time) noexcept {
  return static_cast<double>(Time.count());
}

} // namespace

void queued_item::addTriedVm(const vm_index Vm, const bool Failed) noexcept {
  const auto Recorded = triedVms();
  const auto Position = static_cast<std::size_t>(
      std::find(Recorded.begin(), Recorded.end(), Vm) - Recorded.begin());
  if (Position == MaxTriedVms)
    return;
  if (Position == TriedVmCount)
    TriedVms[TriedVmCount++] = Vm;
  if (Failed)
    FailedMask |= static_cast<std::uint8_t>(1U << Position);
}

queue_set::queue_set(const limits Limits)
    : Limits{Limits}, Table(Limits.MaxItems) {
  FreeIndexes.reserve(Limits.MaxItems);
  for (auto Index = Limits.MaxItems; Index > 0; --Index)
    FreeIndexes.push_back(Index - 1);
  ById.reserve(Limits.MaxItems);
}

void queue_set::setTeam(const team_index Team, const std::uint32_t Customer,
                        const double Quota) {
  if (Teams.size() <= rawIndex(Team))
    Teams.resize(rawIndex(Team) + 1);
  while (Customers.size() <= Customer) {
    auto &Added = Customers.emplace_back();
    for (const auto Class : Classes)
      Added.Node[classIndex(Class)] =
          FairQueues[classIndex(Class)].addNode(fair_queue::Root, 1);
  }
  auto &Record = Teams[rawIndex(Team)];
  auto &CustomerRecord = Customers[Customer];
  GALENALINK_ASSERT(!Record.Registered || Record.Customer == Customer,
                    "the customer of a team must not change");
  CustomerRecord.Quota += Quota - (Record.Registered ? Record.Quota : 0);
  for (const auto Class : Classes) {
    auto &FairQueue = FairQueues[classIndex(Class)];
    FairQueue.setWeight(CustomerRecord.Node[classIndex(Class)],
                        CustomerRecord.Quota);
    if (Record.Registered)
      FairQueue.setWeight(Record.Node[classIndex(Class)], Quota);
    else
      Record.Node[classIndex(Class)] =
          FairQueue.addNode(CustomerRecord.Node[classIndex(Class)], Quota);
  }
  Record.Registered = true;
  Record.Customer = Customer;
  Record.Quota = Quota;
}

queue_set::queue_record &queue_set::queue(const queue_index Queue) {
  if (Queues.size() <= rawIndex(Queue))
    Queues.resize(rawIndex(Queue) + 1);
  return Queues[rawIndex(Queue)];
}

void queue_set::setClass(const queue_index Queue, const work_class Class) {
  auto &Record = queue(Queue);
  if (Record.Class == Class)
    return;
  const auto OldClass = classIndex(Record.Class);
  const auto NewClass = classIndex(Class);
  for (const auto Flow : Record.Flows) {
    const auto &FlowRecord = *Flows[Flow];
    if (!FlowRecord.Items.empty()) {
      FairQueues[OldClass].deactivate(FlowRecord.Node[OldClass]);
      FairQueues[NewClass].activate(FlowRecord.Node[NewClass]);
    }
  }
  Waiting[OldClass] -= Record.Waiting;
  Waiting[NewClass] += Record.Waiting;
  Backlog[OldClass] -= Record.Cost;
  Backlog[NewClass] += Record.Cost;
  Record.Class = Class;
}

queue_set::flow_index queue_set::findOrCreateFlow(const queue_index Queue,
                                                  const team_index Team) {
  const auto Key = std::uint64_t{rawIndex(Queue)} << 32U | rawIndex(Team);
  if (const auto Found = FlowByKey.find(Key); Found != FlowByKey.end())
    return Found->second;
  GALENALINK_ASSERT(rawIndex(Team) < Teams.size() &&
                        Teams[rawIndex(Team)].Registered,
                    "the team must be registered");
  const auto Flow = static_cast<flow_index>(Flows.size());
  auto &Record = *Flows.emplace_back(std::make_unique<flow_record>());
  Record.Queue = Queue;
  for (const auto Class : Classes) {
    const auto Node = FairQueues[classIndex(Class)].addNode(
        Teams[rawIndex(Team)].Node[classIndex(Class)], 1);
    Record.Node[classIndex(Class)] = Node;
    FlowByNode[classIndex(Class)].resize(Node + 1);
    FlowByNode[classIndex(Class)][Node] = Flow;
  }
  queue(Queue).Flows.push_back(Flow);
  FlowByKey.emplace(Key, Flow);
  return Flow;
}

refusal queue_set::checkCapacity(const flow_index Flow) const noexcept {
  if (FreeIndexes.empty())
    return refusal::QueueFull;
  return Flows[Flow]->Count >= Limits.MaxFlowItems ? refusal::OverQuota
                                                   : refusal::None;
}

queued_item &queue_set::insert(const work_item &Work, const flow_index Flow,
                               const duration Cost, const time_point StartBy) {
  GALENALINK_ASSERT(!FreeIndexes.empty(),
                    "there must be a free entry for a new item");
  const auto Index = FreeIndexes.back();
  const bool Added = ById.insert(Work.Id, Index);
  GALENALINK_ASSERT(Added, "the item must not be stored already");
  FreeIndexes.pop_back();
  auto &Item = Table[Index];
  Item.Work = Work;
  Item.Cost = Cost;
  Item.Flow = Flow;
  Item.Refusals = 0;
  Item.TriedVmCount = 0;
  Item.FailedMask = 0;
  Item.MayHaveStarted = false;
  Item.Requeued = false;
  Item.Attempt = {};
  push(Item, StartBy);
  return Item;
}

void queue_set::push(queued_item &Item, const time_point StartBy) {
  auto &Record = *Flows[Item.Flow];
  if (Record.Items.empty()) {
    const auto Class = classIndex(Queues[rawIndex(Record.Queue)].Class);
    FairQueues[Class].activate(Record.Node[Class]);
  }
  Record.Items.push_back(Item);
  Item.Queued = true;
  Timers.add(Item, StartBy);
  updateCounters(Item, true);
}

void queue_set::requeue(queued_item &Item) {
  GALENALINK_ASSERT(!Item.Queued, "only a running item can be requeued");
  Item.Requeued = true;
  Item.Queued = true;
  Requeued.push_back(Item);
  Timers.add(Item, Item.startBy());
  updateCounters(Item, true);
}

void queue_set::updateCounters(const queued_item &Item,
                               const bool Add) noexcept {
  auto &Flow = *Flows[Item.Flow];
  auto &Queue = Queues[rawIndex(Flow.Queue)];
  const auto Class = classIndex(Queue.Class);
  if (Add) {
    ++Flow.Count, ++Queue.Waiting, ++Waiting[Class];
    Flow.Cost += Item.Cost, Queue.Cost += Item.Cost;
    Backlog[Class] += Item.Cost;
  } else {
    --Flow.Count, --Queue.Waiting, --Waiting[Class];
    Flow.Cost -= Item.Cost, Queue.Cost -= Item.Cost;
    Backlog[Class] -= Item.Cost;
  }
}

void queue_set::remove(queued_item &Item) {
  updateCounters(Item, false);
  Timers.remove(Item);
  Item.Queued = false;
  if (Item.Requeued) {
    Requeued.erase(item_list::s_iterator_to(Item));
    Item.Requeued = false;
    return;
  }
  auto &Record = *Flows[Item.Flow];
  Record.Items.erase(item_list::s_iterator_to(Item));
  if (Record.Items.empty()) {
    const auto Class = classIndex(Queues[rawIndex(Record.Queue)].Class);
    FairQueues[Class].deactivate(Record.Node[Class]);
  }
}

queued_item *queue_set::front(const work_class Class) noexcept {
  const auto Node = FairQueues[classIndex(Class)].pick();
  if (!Node)
    return nullptr;
  return &Flows[FlowByNode[classIndex(Class)][*Node]]->Items.front();
}

void queue_set::start(queued_item &Item, const attempt_id Attempt) {
  const auto &Record = *Flows[Item.Flow];
  const auto Class = classIndex(Queues[rawIndex(Record.Queue)].Class);
  // A requeued item was not picked by fair queueing, so charging its flow must
  // not advance the virtual time of the siblings.
  if (Item.Requeued)
    FairQueues[Class].adjustCharge(Record.Node[Class], toCost(Item.Cost));
  else
    FairQueues[Class].charge(Record.Node[Class], toCost(Item.Cost));
  remove(Item);
  Item.Attempt = Attempt;
}

void queue_set::adjustCharge(const queued_item &Item,
                             const duration Difference) {
  const auto &Record = *Flows[Item.Flow];
  const auto Class = classIndex(Queues[rawIndex(Record.Queue)].Class);
  FairQueues[Class].adjustCharge(Record.Node[Class], toCost(Difference));
}

void queue_set::erase(queued_item &Item) {
  if (Item.Queued)
    remove(Item);
  ById.erase(Item.Work.Id);
  FreeIndexes.push_back(static_cast<std::uint32_t>(&Item - Table.data()));
}

queued_item *queue_set::find(const item_id Item) noexcept {
  const auto Found = ById.find(Item);
  return Found ? &Table[*Found] : nullptr;
}

std::uint32_t queue_set::waiting(const work_class Class) const noexcept {
  return Waiting[classIndex(Class)];
}
std::uint32_t queue_set::waiting(const queue_index Queue) const noexcept {
  return rawIndex(Queue) < Queues.size() ? Queues[rawIndex(Queue)].Waiting : 0;
}
duration queue_set::backlog(const work_class Class) const noexcept {
  return Backlog[classIndex(Class)];
}
duration queue_set::backlog(const flow_index Flow) const noexcept {
  return Flows[Flow]->Cost;
}
double queue_set::share(const flow_index Flow) const noexcept {
  const auto &Record = *Flows[Flow];
  const auto Class = classIndex(Queues[rawIndex(Record.Queue)].Class);
  return FairQueues[Class].share(Record.Node[Class]);
}
work_class queue_set::classOf(const queue_index Queue) const noexcept {
  return rawIndex(Queue) < Queues.size() ? Queues[rawIndex(Queue)].Class
                                         : work_class::Short;
}

} // namespace galenalink::schedule
