#include "galenalink/schedule/queue_set.hpp"
#include "galenalink/core/assert.hpp"
#include <algorithm>

namespace galenalink::schedule {

namespace {

constexpr std::array Classes{work_class::Short, work_class::Long};

[[nodiscard]] constexpr std::size_t index(const work_class Class) noexcept {
  return static_cast<std::size_t>(Class);
}

[[nodiscard]] double asCost(const duration Time) noexcept {
  return static_cast<double>(Time.count());
}

} // namespace

void queued_item::addTried(const vm_index Vm, const bool Failed) noexcept {
  const auto Known = tried();
  const auto Position = static_cast<std::size_t>(
      std::find(Known.begin(), Known.end(), Vm) - Known.begin());
  if (Position == MaxTried)
    return;
  if (Position == TriedCount)
    Tried[TriedCount++] = Vm;
  if (Failed)
    FailedOn |= static_cast<std::uint8_t>(1U << Position);
}

queue_set::queue_set(const limits Limits)
    : Limits{Limits}, Table(Limits.MaxItems) {
  Unused.reserve(Limits.MaxItems);
  for (auto Index = Limits.MaxItems; Index > 0; --Index)
    Unused.push_back(Index - 1);
  ById.reserve(Limits.MaxItems);
}

void queue_set::setTeam(const team_index Team, const std::uint32_t Member,
                        const double Quota) {
  if (Teams.size() <= raw(Team))
    Teams.resize(raw(Team) + 1);
  while (Members.size() <= Member) {
    auto &Added = Members.emplace_back();
    for (const auto Class : Classes)
      Added.Node[index(Class)] =
          Fair[index(Class)].addNode(fair_queue::Root, 1);
  }
  auto &Record = Teams[raw(Team)];
  auto &Owner = Members[Member];
  GALENALINK_ASSERT(!Record.Known || Record.Member == Member,
                    "a team keeps its member");
  Owner.Quota += Quota - (Record.Known ? Record.Quota : 0);
  for (const auto Class : Classes) {
    auto &Share = Fair[index(Class)];
    Share.setWeight(Owner.Node[index(Class)], Owner.Quota);
    if (Record.Known)
      Share.setWeight(Record.Node[index(Class)], Quota);
    else
      Record.Node[index(Class)] =
          Share.addNode(Owner.Node[index(Class)], Quota);
  }
  Record.Known = true;
  Record.Member = Member;
  Record.Quota = Quota;
}

queue_set::queue_record &queue_set::queue(const queue_index Queue) {
  if (Queues.size() <= raw(Queue))
    Queues.resize(raw(Queue) + 1);
  return Queues[raw(Queue)];
}

void queue_set::setClass(const queue_index Queue, const work_class Class) {
  auto &Record = queue(Queue);
  if (Record.Class == Class)
    return;
  const auto Old = index(Record.Class);
  const auto New = index(Class);
  for (const auto Flow : Record.Flows) {
    const auto &Moved = *Flows[Flow];
    if (!Moved.Items.empty()) {
      Fair[Old].deactivate(Moved.Node[Old]);
      Fair[New].activate(Moved.Node[New]);
    }
  }
  Waiting[Old] -= Record.Waiting;
  Waiting[New] += Record.Waiting;
  Backlog[Old] -= Record.Cost;
  Backlog[New] += Record.Cost;
  Record.Class = Class;
}

queue_set::flow_index queue_set::flow(const queue_index Queue,
                                      const team_index Team) {
  const auto Key = std::uint64_t{raw(Queue)} << 32U | raw(Team);
  if (const auto Found = FlowOf.find(Key); Found != FlowOf.end())
    return Found->second;
  GALENALINK_ASSERT(raw(Team) < Teams.size() && Teams[raw(Team)].Known,
                    "team is known");
  const auto Flow = static_cast<flow_index>(Flows.size());
  auto &Record = *Flows.emplace_back(std::make_unique<flow_record>());
  Record.Queue = Queue;
  for (const auto Class : Classes) {
    const auto Node =
        Fair[index(Class)].addNode(Teams[raw(Team)].Node[index(Class)], 1);
    Record.Node[index(Class)] = Node;
    FlowOfNode[index(Class)].resize(Node + 1);
    FlowOfNode[index(Class)][Node] = Flow;
  }
  queue(Queue).Flows.push_back(Flow);
  FlowOf.emplace(Key, Flow);
  return Flow;
}

refusal queue_set::full(const flow_index Flow) const noexcept {
  if (Unused.empty())
    return refusal::QueueFull;
  return Flows[Flow]->Count >= Limits.MaxFlowItems ? refusal::OverQuota
                                                   : refusal::None;
}

queued_item &queue_set::insert(const work_item &Work, const flow_index Flow,
                               const duration Cost, const time_point StartBy) {
  GALENALINK_ASSERT(!Unused.empty(), "an item is not inserted when full");
  const auto Index = Unused.back();
  const bool Added = ById.insert(Work.Id, Index);
  GALENALINK_ASSERT(Added, "an item is held once");
  Unused.pop_back();
  auto &Item = Table[Index];
  Item.Work = Work;
  Item.Cost = Cost;
  Item.Flow = Flow;
  Item.Refusals = 0;
  Item.TriedCount = 0;
  Item.FailedOn = 0;
  Item.Began = false;
  Item.Again = false;
  Item.Attempt = {};
  push(Item, StartBy);
  return Item;
}

void queue_set::push(queued_item &Item, const time_point StartBy) {
  auto &Record = *Flows[Item.Flow];
  if (Record.Items.empty()) {
    const auto Class = index(Queues[raw(Record.Queue)].Class);
    Fair[Class].activate(Record.Node[Class]);
  }
  Record.Items.push_back(Item);
  Item.Queued = true;
  Timers.add(Item, StartBy);
  count(Item, true);
}

void queue_set::pushAgain(queued_item &Item) {
  GALENALINK_ASSERT(!Item.Queued, "a running item is placed again");
  Item.Again = true;
  Item.Queued = true;
  Again.push_back(Item);
  Timers.add(Item, Item.startBy());
  count(Item, true);
}

void queue_set::count(const queued_item &Item, const bool Add) noexcept {
  auto &Flow = *Flows[Item.Flow];
  auto &Queue = Queues[raw(Flow.Queue)];
  const auto Class = index(Queue.Class);
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
  count(Item, false);
  Timers.remove(Item);
  Item.Queued = false;
  if (Item.Again) {
    Again.erase(item_list::s_iterator_to(Item));
    Item.Again = false;
    return;
  }
  auto &Record = *Flows[Item.Flow];
  Record.Items.erase(item_list::s_iterator_to(Item));
  if (Record.Items.empty()) {
    const auto Class = index(Queues[raw(Record.Queue)].Class);
    Fair[Class].deactivate(Record.Node[Class]);
  }
}

queued_item *queue_set::front(const work_class Class) noexcept {
  const auto Node = Fair[index(Class)].pick();
  if (!Node)
    return nullptr;
  return &Flows[FlowOfNode[index(Class)][*Node]]->Items.front();
}

void queue_set::start(queued_item &Item, const attempt_id Attempt) {
  const auto &Record = *Flows[Item.Flow];
  const auto Class = index(Queues[raw(Record.Queue)].Class);
  // An item that is placed again was not picked by fair share, so its flow
  // must not move the virtual time of its siblings forward.
  if (Item.Again)
    Fair[Class].correct(Record.Node[Class], asCost(Item.Cost));
  else
    Fair[Class].charge(Record.Node[Class], asCost(Item.Cost));
  remove(Item);
  Item.Attempt = Attempt;
}

void queue_set::correct(const queued_item &Item, const duration Difference) {
  const auto &Record = *Flows[Item.Flow];
  const auto Class = index(Queues[raw(Record.Queue)].Class);
  Fair[Class].correct(Record.Node[Class], asCost(Difference));
}

void queue_set::erase(queued_item &Item) {
  if (Item.Queued)
    remove(Item);
  ById.erase(Item.Work.Id);
  Unused.push_back(static_cast<std::uint32_t>(&Item - Table.data()));
}

queued_item *queue_set::find(const item_id Item) noexcept {
  const auto Found = ById.find(Item);
  return Found ? &Table[*Found] : nullptr;
}

std::uint32_t queue_set::waiting(const work_class Class) const noexcept {
  return Waiting[index(Class)];
}
std::uint32_t queue_set::waiting(const queue_index Queue) const noexcept {
  return raw(Queue) < Queues.size() ? Queues[raw(Queue)].Waiting : 0;
}
duration queue_set::backlog(const work_class Class) const noexcept {
  return Backlog[index(Class)];
}
duration queue_set::backlog(const flow_index Flow) const noexcept {
  return Flows[Flow]->Cost;
}
double queue_set::share(const flow_index Flow) const noexcept {
  const auto &Record = *Flows[Flow];
  const auto Class = index(Queues[raw(Record.Queue)].Class);
  return Fair[Class].share(Record.Node[Class]);
}
work_class queue_set::classOf(const queue_index Queue) const noexcept {
  return raw(Queue) < Queues.size() ? Queues[raw(Queue)].Class
                                    : work_class::Short;
}

} // namespace galenalink::schedule
