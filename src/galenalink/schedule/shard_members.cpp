#include "galenalink/core/assert.hpp"
#include "galenalink/schedule/shard_scheduler.hpp"
#include <algorithm>

namespace galenalink::schedule {

namespace {

/** Returns the index of a name, which is added if it is new. */
[[nodiscard]] std::uint32_t findOrAddName(std::vector<std::string> &Names,
                                          const std::string &Name) {
  const auto Found = std::find(Names.begin(), Names.end(), Name);
  const auto Position = static_cast<std::uint32_t>(Found - Names.begin());
  if (Found == Names.end())
    Names.push_back(Name);
  return Position;
}

/** Returns the index of the record with a name, or the size if none has it. */
template <typename Record>
[[nodiscard]] std::uint32_t findRecord(const std::vector<Record> &Records,
                                       const std::string &Name) {
  const auto Found =
      std::find_if(Records.begin(), Records.end(), [&](const Record &Existing) {
        return Existing.Settings.Name == Name;
      });
  return static_cast<std::uint32_t>(Found - Records.begin());
}

} // namespace

duration shard_scheduler::computeLongThreshold() const {
  const auto Median = static_cast<double>(OverallRunTime.median().count());
  const auto Threshold =
      duration{static_cast<duration::rep>(Settings.LongMedianFactor * Median)};
  return std::clamp(Threshold, Settings.MinLongThreshold,
                    Settings.MaxLongThreshold);
}

queue_index shard_scheduler::setQueue(const queue_settings &Queue) {
  const queue_index Index{findRecord(QueueRecords, Queue.Name)};
  if (rawIndex(Index) == QueueRecords.size())
    QueueRecords.push_back(
        {.Settings = Queue,
         .RunTime = run_time_estimator{Queue.ExpectedRun},
         .ClassEstimator = class_estimator{work_class::Short}});
  auto &Record = QueueRecords[rawIndex(Index)];
  if (!Record.RunTime.hasEnoughRuns())
    Record.RunTime = run_time_estimator{Queue.ExpectedRun};
  Record.Settings = Queue;
  Record.AcceptsWork = true;
  Record.ServiceIndex = findOrAddName(Services, Queue.Service);
  while (RetryBudgets.size() < Services.size())
    RetryBudgets.emplace_back(Settings.RetryRatio, Settings.RetryBurst);
  AnyIdempotent = std::any_of(
      QueueRecords.begin(), QueueRecords.end(), [](const auto &Entry) {
        return Entry.AcceptsWork && Entry.Settings.Idempotent;
      });
  applyDeclaredRunTimes();
  return Index;
}

void shard_scheduler::removeQueue(const queue_index Queue) {
  if (rawIndex(Queue) >= QueueRecords.size())
    return;
  QueueRecords[rawIndex(Queue)].AcceptsWork = false;
  applyEstimatedClass(Queue);
}

void shard_scheduler::applyDeclaredRunTimes() {
  if (!OverallRunTime.hasEnoughRuns()) {
    // Until enough runs were observed, the shortest declared run time serves as
    // the typical run time that separates long from short work.
    auto Shortest = Settings.MaxLongThreshold;
    for (const auto &Queue : QueueRecords)
      Shortest = std::min(Shortest, Queue.Settings.ExpectedRun);
    OverallRunTime = run_time_estimator{Shortest};
    LongThreshold = computeLongThreshold();
    EstimateThreshold = LongThreshold;
  }
  for (std::uint32_t Index = 0; Index < QueueRecords.size(); ++Index) {
    auto &Queue = QueueRecords[Index];
    if (!Queue.RunTime.hasEnoughRuns())
      Queue.ClassEstimator = class_estimator{
          Queue.Settings.ExpectedRun < LongThreshold ? work_class::Short
                                                     : work_class::Long};
    applyEstimatedClass(queue_index{Index});
  }
}

void shard_scheduler::resetClassEstimates() {
  // Earlier runs were counted as long against a typical run time that was
  // declared too short. Waiting for as many short runs would take minutes,
  // because work that is classified as long gets a small share of the slots.
  if (LongThreshold < 2 * EstimateThreshold)
    return;
  EstimateThreshold = LongThreshold;
  for (std::uint32_t Index = 0; Index < QueueRecords.size(); ++Index) {
    auto &Queue = QueueRecords[Index];
    if (!Queue.RunTime.hasEnoughRuns())
      continue;
    Queue.ClassEstimator = class_estimator{
        Queue.RunTime.median() < LongThreshold ? work_class::Short
                                               : work_class::Long};
    applyEstimatedClass(queue_index{Index});
  }
}

void shard_scheduler::observeClass(const queue_index Queue,
                                   const work_class Run) {
  auto &Estimator = QueueRecords[rawIndex(Queue)].ClassEstimator;
  const auto Previous = Estimator.estimatedClass();
  Estimator.observe(Run);
  if (Estimator.estimatedClass() != Previous)
    applyEstimatedClass(Queue);
}

void shard_scheduler::applyEstimatedClass(const queue_index Queue) {
  Queues.setClass(
      Queue, QueueRecords[rawIndex(Queue)].ClassEstimator.estimatedClass());
  ShortQueueCount = static_cast<std::uint32_t>(std::count_if(
      QueueRecords.begin(), QueueRecords.end(), [](const auto &Entry) {
        return Entry.AcceptsWork &&
               Entry.ClassEstimator.estimatedClass() == work_class::Short;
      }));
}

team_index shard_scheduler::setTeam(const team_settings &Team) {
  const team_index Index{findRecord(TeamRecords, Team.Name)};
  if (rawIndex(Index) == TeamRecords.size())
    TeamRecords.push_back({Team, findOrAddName(Customers, Team.Customer)});
  auto &Record = TeamRecords[rawIndex(Index)];
  GALENALINK_ASSERT(Record.Settings.Customer == Team.Customer,
                    "customer of a team does not change");
  Record.Settings = Team;
  Queues.setTeam(Index, Record.CustomerIndex, std::max(Team.QuotaSlots, 1U));
  return Index;
}

vm_index shard_scheduler::addVm(const std::string_view Name,
                                const std::uint64_t Epoch) {
  const bool Existing = Slots.find(Name).has_value();
  const auto Vm = Slots.add(Name, Epoch);
  while (RunningAttempts.size() < std::size_t{Slots.indexLimit()} * SlotsPerVm)
    RunningAttempts.emplace_back();
  if (!Existing)
    Health.reset(Vm);
  updateExclusion(Vm);
  return Vm;
}

void shard_scheduler::removeVm(const vm_index Vm) {
  if (!Slots.contains(Vm))
    return;
  Health.remove(Vm);
  updateExclusion(Vm);
  Slots.remove(Vm);
}

void shard_scheduler::drainVm(const vm_index Vm, const vm_state State) {
  if (Slots.contains(Vm))
    Slots.setState(Vm, State);
}

duration shard_scheduler::medianRunTime(const queue_index Queue) const {
  return QueueRecords[rawIndex(Queue)].RunTime.median();
}

} // namespace galenalink::schedule
