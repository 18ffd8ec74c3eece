#include "galenalink/job/leader.hpp"
#include <nlohmann/json.hpp>

namespace galenalink::job {

namespace {

using nlohmann::json;

/** Records are compact CBOR arrays, because storage is billed by size. */
json toJson(const step_spec &Step) {
  const std::uint32_t Flags =
      (Step.Checkpointing ? 1U : 0U) | (Step.Gang ? 2U : 0U) |
      (Step.SameRack ? 4U : 0U) | (Step.Speculative ? 8U : 0U) |
      (Step.LongRunning ? 16U : 0U) | (Step.BestEffort ? 32U : 0U);
  return json::array({Step.Count, Step.Size.Cpu, Step.Size.Memory,
                      Step.Size.Gpu, Step.EstimateMs, Step.DependsOn, Flags,
                      Step.Label, Step.Rack, Step.MaxPerServer, Step.Image,
                      Step.TargetMs, Step.DisruptionBudget});
}

step_spec parseStep(const json &From) {
  step_spec Step;
  Step.Count = From.at(0);
  Step.Size = {From.at(1), From.at(2), From.at(3)};
  Step.EstimateMs = From.at(4);
  Step.DependsOn = From.at(5).get<std::vector<std::uint32_t>>();
  const std::uint32_t Flags = From.at(6);
  Step.Checkpointing = (Flags & 1U) != 0;
  Step.Gang = (Flags & 2U) != 0;
  Step.SameRack = (Flags & 4U) != 0;
  Step.Speculative = (Flags & 8U) != 0;
  Step.LongRunning = (Flags & 16U) != 0;
  Step.BestEffort = (Flags & 32U) != 0;
  Step.Label = From.at(7);
  Step.Rack = From.at(8);
  Step.MaxPerServer = From.at(9);
  Step.Image = From.at(10);
  Step.TargetMs = From.at(11);
  Step.DisruptionBudget = From.at(12);
  return Step;
}

json toJson(const job_rule &Rule, const std::uint64_t Version) {
  json Advice;
  if (Rule.Advice)
    Advice = json::array({Rule.Advice->DecisionMs, Rule.Advice->PerServerMs,
                          Rule.Advice->ValidityMs});
  return json::array({Version, Rule.Priority, Rule.MaxAttempts, Rule.Stretch,
                      Rule.SlackMs, Advice});
}

void restoreRule(job &Job, const json &From) {
  job_rule Rule;
  Rule.Priority = From.at(1);
  Rule.MaxAttempts = From.at(2);
  Rule.Stretch = From.at(3);
  Rule.SlackMs = From.at(4);
  if (const json &Advice = From.at(5); !Advice.is_null())
    Rule.Advice = {Advice.at(0), Advice.at(1), Advice.at(2)};
  Job.setRule(Rule, From.at(0));
}

std::string toText(const json &From) {
  const auto Bytes = json::to_cbor(From);
  return {Bytes.begin(), Bytes.end()};
}

/** @brief Progress of a step: bitmap of done tasks, failed runs by task,
 * checkpoints by task. */
json stepProgress(const step &Step) {
  std::vector<std::uint8_t> Done((Step.Tasks.size() + 7) / 8);
  json Failures = json::array();
  json Checkpoint = json::array();
  for (std::size_t I = 0; I < Step.Tasks.size(); ++I) {
    const task &Task = Step.Tasks[I];
    if (Task.Done)
      Done[I / 8] |= static_cast<std::uint8_t>(1U << (I % 8));
    if (!Task.FailedRuns.empty())
      Failures.push_back({I, Task.FailedRuns});
    if (!Task.Checkpoint.empty())
      Checkpoint.push_back({I, Task.Checkpoint});
  }
  return json::array({json::binary(std::move(Done)), Failures, Checkpoint});
}

void restoreStep(step &Step, const json &From) {
  const auto &Done = From.at(0).get_binary();
  for (std::size_t I = 0; I < Step.Tasks.size(); ++I) {
    Step.Tasks[I].Done = (Done.at(I / 8) >> (I % 8) & 1U) != 0;
    Step.Done += Step.Tasks[I].Done ? 1 : 0;
  }
  for (const auto &Each : From.at(1)) {
    task &Task = Step.Tasks.at(Each.at(0));
    Task.FailedRuns = Each.at(1).get<std::vector<std::uint64_t>>();
    Task.Failures = static_cast<std::uint32_t>(Task.FailedRuns.size());
  }
  for (const auto &Each : From.at(2))
    Step.Tasks.at(Each.at(0)).Checkpoint = Each.at(1);
}

} // namespace

std::string toRecord(const job &Job) {
  const job_spec &Spec = Job.spec();
  json Steps = json::array();
  for (const auto &Each : Spec.Steps)
    Steps.push_back(toJson(Each));
  json Fields =
      json::array({Job.queue(), Job.pool(), Job.acceptedMs(), Spec.Spec, Steps,
                   Spec.Times, Spec.StartAtMs, Spec.IntervalMs});
  if (Job.rule() != nullptr) {
    Fields.push_back(toJson(*Job.rule(), Job.ruleVersion()));
    if (!Job.formerPools().empty())
      Fields.push_back(Job.formerPools());
  }
  return toText(Fields);
}

std::optional<job> parseJob(const std::string &Id,
                            const std::string_view Record) {
  try {
    const json From = json::from_cbor(Record);
    job_spec Spec;
    Spec.Spec = From.at(3);
    for (const auto &Each : From.at(4))
      Spec.Steps.push_back(parseStep(Each));
    Spec.Times = From.at(5);
    Spec.StartAtMs = From.at(6);
    Spec.IntervalMs = From.at(7);
    job Job{Id, From.at(0), From.at(1), std::move(Spec), From.at(2)};
    // The rule is absent in records of earlier versions.
    constexpr std::size_t RuleField = 8;
    constexpr std::size_t FormerPoolsField = 9;
    if (From.size() > RuleField)
      restoreRule(Job, From.at(RuleField));
    if (From.size() > FormerPoolsField)
      Job.setFormerPools(
          From.at(FormerPoolsField).get<std::vector<std::string>>());
    return Job;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

std::string toRecord(const wave_progress &Wave) {
  return toText(
      json::array({Wave.DeadlineMs, Wave.Done, Wave.CompletedPublished}));
}

std::optional<wave_progress> parseWave(const std::string_view Record) {
  try {
    const json From = json::from_cbor(Record);
    wave_progress Wave;
    Wave.DeadlineMs = From.at(0);
    Wave.Done = From.at(1).get<std::set<std::string>>();
    Wave.CompletedPublished = From.at(2);
    return Wave;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

std::string toRecord(const std::map<std::string, std::size_t> &Sizes) {
  return toText(json(Sizes));
}

std::map<std::string, std::size_t> parseSizes(const std::string_view Record) {
  try {
    return json::from_cbor(Record).get<std::map<std::string, std::size_t>>();
  } catch (const json::exception &) {
    return {};
  }
}

std::string toRecord(const duration_estimator &Durations) {
  json Rows = json::array();
  for (const auto &[Queue, Each] : Durations.entries())
    Rows.push_back({Queue, Each.Count, Each.MeanMs, Each.LogRatio});
  return toText(Rows);
}

bool restoreDurations(const std::string_view Record, duration_estimator &Out) {
  try {
    std::map<std::string, duration_estimator::entry> Entries;
    for (const auto &Each : json::from_cbor(Record))
      Entries[Each.at(0)] = {Each.at(1), Each.at(2), Each.at(3)};
    Out.restore(std::move(Entries));
    return true;
  } catch (const json::exception &) {
    return false;
  }
}

std::string toRecord(const std::vector<demand_peak> &Peaks) {
  json Rows = json::array();
  for (const auto &Each : Peaks)
    Rows.push_back({Each.Pool, Each.FirstMs, Each.LastMs, Each.CenterMs,
                    Each.Work, Each.Jobs});
  return toText(Rows);
}

std::vector<demand_peak> parsePeaks(const std::string_view Record) {
  std::vector<demand_peak> Peaks;
  try {
    for (const auto &Each : json::from_cbor(Record))
      Peaks.push_back({Each.at(0), Each.at(1), Each.at(2), Each.at(3),
                       Each.at(4), Each.at(5)});
  } catch (const json::exception &) {
    Peaks.clear();
  }
  return Peaks;
}

std::string job::progressRecord() const {
  json Occurrences = json::array();
  if (ended())
    return toText(json::array(
        {static_cast<std::uint32_t>(State), OpenedCount, Occurrences, Queue}));
  for (const auto &Each : OpenOccurrences) {
    json Steps = json::array();
    for (const auto &Step : Each.Steps)
      Steps.push_back(stepProgress(Step));
    Occurrences.push_back({Each.Number, Steps});
  }
  return toText(json::array(
      {static_cast<std::uint32_t>(State), OpenedCount, Occurrences}));
}

std::optional<job> parseEnded(const std::string &Id,
                              const std::string_view Progress) {
  try {
    const json From = json::from_cbor(Progress);
    job Job{Id, From.at(3), "", {}, 0};
    if (Job.restore(Progress) && Job.ended())
      return Job;
  } catch (const json::exception &) {
    // The progress record of an open job has no queue field.
  }
  return std::nullopt;
}

bool job::restore(const std::string_view Progress) {
  try {
    const json From = json::from_cbor(Progress);
    State = static_cast<job_state>(From.at(0).get<std::uint32_t>());
    const std::uint32_t StoredCount = From.at(1);
    while (OpenedCount < StoredCount && OpenedCount < Spec.occurrences())
      openNext();
    std::vector<occurrence> Restored;
    for (const auto &Each : From.at(2)) {
      const std::uint32_t Number = Each.at(0);
      occurrence &Occurrence = OpenOccurrences.at(Number);
      for (std::size_t I = 0; I < Occurrence.Steps.size(); ++I)
        restoreStep(Occurrence.Steps[I], Each.at(1).at(I));
      Restored.push_back(Occurrence);
    }
    OpenOccurrences = std::move(Restored);
    return true;
  } catch (const std::exception &) {
    return false;
  }
}

} // namespace galenalink::job
