#include "galenalink/core/assert.hpp"
#include "galenalink/schedule/shard_scheduler.hpp"
#include <algorithm>

namespace galenalink::schedule {

namespace {

/** Position of a name in a table, added if it is new. */
[[nodiscard]] std::uint32_t positionOf(std::vector<std::string> &Names,
                                       const std::string &Name) {
  const auto Found = std::find(Names.begin(), Names.end(), Name);
  const auto Position = static_cast<std::uint32_t>(Found - Names.begin());
  if (Found == Names.end())
    Names.push_back(Name);
  return Position;
}

/** Position of the record of a name, or the size if there is none. */
template <typename Record>
[[nodiscard]] std::uint32_t find(const std::vector<Record> &Records,
                                 const std::string &Name) {
  const auto Found =
      std::find_if(Records.begin(), Records.end(), [&](const Record &Known) {
        return Known.Settings.Name == Name;
      });
  return static_cast<std::uint32_t>(Found - Records.begin());
}

} // namespace

duration shard_scheduler::longAfter() const {
  const auto Median = static_cast<double>(Typical.median().count());
  const auto Factor =
      duration{static_cast<duration::rep>(Settings.LongMedianFactor * Median)};
  return std::clamp(Factor, Settings.MinLongThreshold,
                    Settings.MaxLongThreshold);
}

queue_index shard_scheduler::setQueue(const queue_settings &Queue) {
  const queue_index Index{find(QueueRecords, Queue.Name)};
  if (rawIndex(Index) == QueueRecords.size())
    QueueRecords.push_back({.Settings = Queue,
                            .RunTime = run_time_estimator{Queue.ExpectedRun},
                            .Belief = class_estimator{work_class::Short}});
  auto &Record = QueueRecords[rawIndex(Index)];
  if (!Record.RunTime.hasEnoughRuns())
    Record.RunTime = run_time_estimator{Queue.ExpectedRun};
  Record.Settings = Queue;
  Record.Open = true;
  Record.Service = positionOf(Services, Queue.Service);
  while (Budgets.size() < Services.size())
    Budgets.emplace_back(Settings.RetryRatio, Settings.RetryBurst);
  AnyIdempotent = std::any_of(QueueRecords.begin(), QueueRecords.end(),
                              [](const auto &Known) {
                                return Known.Open && Known.Settings.Idempotent;
                              });
  declareTypical();
  return Index;
}

void shard_scheduler::removeQueue(const queue_index Queue) {
  if (rawIndex(Queue) >= QueueRecords.size())
    return;
  QueueRecords[rawIndex(Queue)].Open = false;
  applyBelief(Queue);
}

void shard_scheduler::declareTypical() {
  if (!Typical.hasEnoughRuns()) {
    // Declared run times tell long from short until runs were observed. The
    // shortest queue stands for the typical work.
    auto Shortest = Settings.MaxLongThreshold;
    for (const auto &Queue : QueueRecords)
      Shortest = std::min(Shortest, Queue.Settings.ExpectedRun);
    Typical = run_time_estimator{Shortest};
    LongAfter = longAfter();
    BeliefBasis = LongAfter;
  }
  for (std::uint32_t Index = 0; Index < QueueRecords.size(); ++Index) {
    auto &Queue = QueueRecords[Index];
    if (!Queue.RunTime.hasEnoughRuns())
      Queue.Belief = class_estimator{Queue.Settings.ExpectedRun < LongAfter
                                         ? work_class::Short
                                         : work_class::Long};
    applyBelief(queue_index{Index});
  }
}

void shard_scheduler::rebaseBeliefs() {
  // Runs were counted as long against a typical run time that was declared too
  // short. Waiting for as many short runs would take minutes, because work
  // that is believed long gets a small share of the slots.
  if (LongAfter < 2 * BeliefBasis)
    return;
  BeliefBasis = LongAfter;
  for (std::uint32_t Index = 0; Index < QueueRecords.size(); ++Index) {
    auto &Queue = QueueRecords[Index];
    if (!Queue.RunTime.hasEnoughRuns())
      continue;
    Queue.Belief =
        class_estimator{Queue.RunTime.median() < LongAfter ? work_class::Short
                                                           : work_class::Long};
    applyBelief(queue_index{Index});
  }
}

void shard_scheduler::believe(const queue_index Queue, const work_class Run) {
  auto &Belief = QueueRecords[rawIndex(Queue)].Belief;
  const auto Before = Belief.estimatedClass();
  Belief.observe(Run);
  if (Belief.estimatedClass() != Before)
    applyBelief(Queue);
}

void shard_scheduler::applyBelief(const queue_index Queue) {
  Queues.setClass(Queue, QueueRecords[rawIndex(Queue)].Belief.estimatedClass());
  ShortQueues = static_cast<std::uint32_t>(std::count_if(
      QueueRecords.begin(), QueueRecords.end(), [](const auto &Known) {
        return Known.Open && Known.Belief.estimatedClass() == work_class::Short;
      }));
}

team_index shard_scheduler::setTeam(const team_settings &Team) {
  const team_index Index{find(TeamRecords, Team.Name)};
  if (rawIndex(Index) == TeamRecords.size())
    TeamRecords.push_back({Team, positionOf(Customers, Team.Customer)});
  auto &Record = TeamRecords[rawIndex(Index)];
  GALENALINK_ASSERT(Record.Settings.Customer == Team.Customer,
                    "a team keeps its member");
  Record.Settings = Team;
  Queues.setTeam(Index, Record.Customer, std::max(Team.QuotaSlots, 1U));
  return Index;
}

vm_index shard_scheduler::addVm(const std::string_view Name,
                                const std::uint64_t Epoch) {
  const bool Known = Slots.find(Name).has_value();
  const auto Vm = Slots.add(Name, Epoch);
  while (Running.size() < std::size_t{Slots.limit()} * SlotsPerVm)
    Running.emplace_back();
  if (!Known)
    Health.reset(Vm);
  hold(Vm);
  return Vm;
}

void shard_scheduler::removeVm(const vm_index Vm) {
  if (!Slots.known(Vm))
    return;
  Health.remove(Vm);
  hold(Vm);
  Slots.remove(Vm);
}

void shard_scheduler::drainVm(const vm_index Vm, const vm_state State) {
  if (Slots.known(Vm))
    Slots.setState(Vm, State);
}

duration shard_scheduler::medianRun(const queue_index Queue) const {
  return QueueRecords[rawIndex(Queue)].RunTime.median();
}

} // namespace galenalink::schedule
