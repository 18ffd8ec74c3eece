#include "galenalink/job/job_limits.hpp"
#include "galenalink/job/json_fields.hpp"
#include "galenalink/job/leader.hpp"

namespace galenalink::job {

namespace {

using nlohmann::json;

/** Larger means of durations, in ms, and amounts of work are not plausible. */
constexpr value_range<double> PositiveRange{0, 1e18};
/** Natural logarithm of a ratio of durations. */
constexpr value_range<double> LogRatioRange{-100, 100};

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

resources parseResources(const json &Cpu, const json &Memory, const json &Gpu) {
  constexpr value_range<std::int64_t> Range{0, limits::MaxResource};
  return {boundedInteger<std::int64_t>(Cpu, Range),
          boundedInteger<std::int64_t>(Memory, Range),
          boundedInteger<std::int64_t>(Gpu, Range)};
}

step_spec parseStep(const json &From) {
  step_spec Step;
  Step.Count = boundedInteger<std::uint32_t>(From.at(0));
  Step.Size = parseResources(From.at(1), From.at(2), From.at(3));
  Step.EstimateMs = boundedInteger<std::uint32_t>(From.at(4));
  for (const auto &Each : From.at(5))
    Step.DependsOn.push_back(boundedInteger<std::uint32_t>(Each));
  const auto Flags = boundedInteger<std::uint32_t>(From.at(6));
  Step.Checkpointing = (Flags & 1U) != 0;
  Step.Gang = (Flags & 2U) != 0;
  Step.SameRack = (Flags & 4U) != 0;
  Step.Speculative = (Flags & 8U) != 0;
  Step.LongRunning = (Flags & 16U) != 0;
  Step.BestEffort = (Flags & 32U) != 0;
  Step.Label = From.at(7);
  Step.Rack = From.at(8);
  Step.MaxPerServer = boundedInteger<std::uint32_t>(From.at(9));
  Step.Image = From.at(10);
  Step.TargetMs = boundedInteger<std::uint32_t>(From.at(11));
  Step.DisruptionBudget = boundedInteger<std::uint32_t>(From.at(12));
  return Step;
}

job_state parseState(const json &From) {
  constexpr auto Last = static_cast<std::uint32_t>(job_state::Cancelled);
  return static_cast<job_state>(boundedInteger<std::uint32_t>(From, {0, Last}));
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
  Rule.Priority = boundedInteger<std::uint32_t>(From.at(1));
  Rule.MaxAttempts = boundedInteger<std::uint32_t>(From.at(2));
  Rule.Stretch = boundedNumber(From.at(3), {0, limits::MaxStretch});
  Rule.SlackMs = boundedInteger<std::uint32_t>(From.at(4));
  if (const json &Advice = From.at(5); !Advice.is_null())
    Rule.Advice = {boundedInteger<std::uint32_t>(Advice.at(0)),
                   boundedInteger<std::uint32_t>(Advice.at(1)),
                   boundedInteger<std::uint32_t>(Advice.at(2))};
  Job.setRule(Rule, boundedInteger<std::uint64_t>(From.at(0)));
}

std::string toText(const json &From) {
  const auto Bytes = json::to_cbor(From);
  return {Bytes.begin(), Bytes.end()};
}

/** @brief Progress of a step: bitmap of done tasks, failed runs by task,
 * checkpoints by task.
 * @param Budget Bytes left for checkpoints. A checkpoint beyond it is left out:
 * the task starts from its beginning under a new leader if its run has ended.
 */
json stepProgress(const step &Step, std::size_t &Budget) {
  // Index, length and array around a checkpoint.
  constexpr std::size_t RowBytes = 10;
  std::vector<std::uint8_t> Done((Step.Tasks.size() + 7) / 8);
  json Failures = json::array();
  json Checkpoint = json::array();
  for (std::size_t I = 0; I < Step.Tasks.size(); ++I) {
    const task &Task = Step.Tasks[I];
    if (Task.Done)
      Done[I / 8] |= static_cast<std::uint8_t>(1U << (I % 8));
    if (!Task.FailedRuns.empty())
      Failures.push_back({I, Task.FailedRuns});
    const std::size_t Bytes = Task.Checkpoint.size() + RowBytes;
    if (Task.Checkpoint.empty() || Bytes > Budget)
      continue;
    Budget -= Bytes;
    Checkpoint.push_back({I, Task.Checkpoint});
  }
  return json::array({json::binary(std::move(Done)), Failures, Checkpoint});
}

/** @return Upper bound of the encoded size of a step's progress without its
 * checkpoints. */
std::size_t maxProgressBytes(const step &Step) {
  constexpr std::size_t StepBytes = 16;
  constexpr std::size_t RowBytes = 8;
  constexpr std::size_t RunBytes = 9;
  std::size_t Bytes = StepBytes + Step.Tasks.size() / 8 + 1;
  for (const task &Task : Step.Tasks) {
    if (!Task.FailedRuns.empty())
      Bytes += RowBytes + RunBytes * Task.FailedRuns.size();
  }
  return Bytes;
}

/** @return Bytes that checkpoints may take in a progress record. */
std::size_t checkpointBudget(const std::vector<occurrence> &Occurrences) {
  constexpr std::size_t HeaderBytes = 64;
  std::size_t Bytes = HeaderBytes;
  for (const auto &Occurrence : Occurrences) {
    Bytes += HeaderBytes;
    for (const auto &Step : Occurrence.Steps)
      Bytes += maxProgressBytes(Step);
  }
  return limits::MaxRecordBytes - std::min(Bytes, limits::MaxRecordBytes);
}

void restoreStep(step &Step, const json &From) {
  const auto &Done = From.at(0).get_binary();
  for (std::size_t I = 0; I < Step.Tasks.size(); ++I) {
    Step.Tasks[I].Done = (Done.at(I / 8) >> (I % 8) & 1U) != 0;
    Step.Done += Step.Tasks[I].Done ? 1 : 0;
  }
  for (const auto &Each : From.at(1)) {
    task &Task = Step.Tasks.at(boundedInteger<std::size_t>(Each.at(0)));
    for (const auto &Run : Each.at(1))
      Task.FailedRuns.push_back(boundedInteger<std::uint64_t>(Run));
    Task.Failures = static_cast<std::uint32_t>(Task.FailedRuns.size());
  }
  for (const auto &Each : From.at(2))
    Step.Tasks.at(boundedInteger<std::size_t>(Each.at(0))).Checkpoint =
        Each.at(1);
}

} // namespace

std::size_t occurrenceRecordBytes(const job_spec &Spec) noexcept {
  // Arrays around the number and the steps, and around the parts of a step.
  constexpr std::size_t OccurrenceBytes = 12;
  constexpr std::size_t StepBytes = 8;
  std::size_t Bytes = OccurrenceBytes;
  for (const step_spec &Step : Spec.Steps)
    Bytes += StepBytes + Step.Count / 8;
  return Bytes;
}

std::string toRecord(const job &Job) {
  const job_spec &Spec = Job.spec();
  json Steps = json::array();
  for (const auto &Each : Spec.Steps)
    Steps.push_back(toJson(Each));
  json Fields =
      json::array({Job.queue(), Job.pool(), Job.acceptedMs(), Spec.Spec, Steps,
                   Spec.Times, Spec.StartAtMs, Spec.IntervalMs});
  const bool HasCustomer = !Job.customer().empty();
  const bool HasFormerPools = !Job.formerPools().empty();
  if (Job.rule() != nullptr)
    Fields.push_back(toJson(*Job.rule(), Job.ruleVersion()));
  else if (HasCustomer)
    Fields.push_back(nullptr);
  if (HasFormerPools || HasCustomer)
    Fields.push_back(Job.formerPools());
  if (HasCustomer)
    Fields.push_back(Job.customer());
  return toText(Fields);
}

std::optional<job> parseJob(const std::string &Id,
                            const std::string_view Record) {
  try {
    const json From = parseCbor(Record);
    job_spec Spec;
    Spec.Spec = From.at(3);
    for (const auto &Each : From.at(4))
      Spec.Steps.push_back(parseStep(Each));
    Spec.Times = boundedInteger<std::uint32_t>(From.at(5));
    constexpr value_range<wall_ms> TimeRange{0, limits::MaxWallMs};
    Spec.StartAtMs = boundedInteger<wall_ms>(From.at(6), TimeRange);
    Spec.IntervalMs = boundedInteger<std::uint32_t>(From.at(7));
    if (taskCount(Spec) > limits::MaxTasks)
      return std::nullopt;
    job Job{Id, From.at(0), From.at(1), std::move(Spec),
            boundedInteger<wall_ms>(From.at(2), TimeRange)};
    // Later fields are absent in records of earlier versions.
    constexpr std::size_t RuleField = 8;
    constexpr std::size_t FormerPoolsField = 9;
    constexpr std::size_t CustomerField = 10;
    if (From.size() > RuleField && !From.at(RuleField).is_null())
      restoreRule(Job, From.at(RuleField));
    if (From.size() > FormerPoolsField)
      Job.setFormerPools(
          From.at(FormerPoolsField).get<std::vector<std::string>>());
    if (From.size() > CustomerField)
      Job.setCustomer(From.at(CustomerField));
    return Job;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

std::string toRecord(const wave_progress &Wave) {
  return toText(
      json::array({Wave.DeadlineMs, Wave.Done, Wave.CompletedPublished}));
}

std::optional<wave_progress> parseWave(const std::string_view Record) {
  try {
    const json From = parseCbor(Record);
    wave_progress Wave;
    Wave.DeadlineMs =
        boundedInteger<wall_ms>(From.at(0), {0, limits::MaxWallMs});
    Wave.Done = From.at(1).get<std::set<std::string>>();
    Wave.CompletedPublished = From.at(2);
    return Wave;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

std::string toRecord(const std::map<std::string, std::size_t> &Sizes) {
  return toText(json(Sizes));
}

std::map<std::string, std::size_t> parseSizes(const std::string_view Record) {
  std::map<std::string, std::size_t> Sizes;
  try {
    const json From = parseCbor(Record);
    for (const auto &[Pool, Size] : From.items())
      Sizes[Pool] = boundedInteger<std::size_t>(Size);
  } catch (const std::exception &) {
    Sizes.clear();
  }
  return Sizes;
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
    for (const auto &Each : parseCbor(Record))
      Entries[Each.at(0)] = {boundedNumber(Each.at(1), PositiveRange),
                             boundedNumber(Each.at(2), PositiveRange),
                             boundedNumber(Each.at(3), LogRatioRange)};
    Out.restore(std::move(Entries));
    return true;
  } catch (const std::exception &) {
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
  constexpr value_range<wall_ms> TimeRange{0, limits::MaxWallMs};
  std::vector<demand_peak> Peaks;
  try {
    for (const auto &Each : parseCbor(Record))
      Peaks.push_back({Each.at(0),
                       boundedInteger<wall_ms>(Each.at(1), TimeRange),
                       boundedInteger<wall_ms>(Each.at(2), TimeRange),
                       boundedNumber(Each.at(3), {0, limits::MaxWallMs}),
                       boundedNumber(Each.at(4), PositiveRange),
                       boundedInteger<std::uint32_t>(Each.at(5))});
  } catch (const std::exception &) {
    Peaks.clear();
  }
  return Peaks;
}

std::string job::progressRecord() const {
  json Occurrences = json::array();
  if (ended()) {
    json Fields = json::array(
        {static_cast<std::uint32_t>(State), OpenedCount, Occurrences, Queue});
    if (!Customer.empty()) {
      Fields.push_back(Customer);
      Fields.push_back(AcceptedMs);
    }
    return toText(Fields);
  }
  std::size_t Budget = checkpointBudget(OpenOccurrences);
  for (const auto &Each : OpenOccurrences) {
    json Steps = json::array();
    for (const auto &Step : Each.Steps)
      Steps.push_back(stepProgress(Step, Budget));
    Occurrences.push_back({Each.Number, Steps});
  }
  return toText(json::array(
      {static_cast<std::uint32_t>(State), OpenedCount, Occurrences}));
}

std::optional<job> parseEnded(const std::string &Id,
                              const std::string_view Progress) {
  try {
    const json From = parseCbor(Progress);
    // Both are absent for a job without a customer.
    constexpr std::size_t CustomerField = 4;
    constexpr std::size_t AcceptedField = 5;
    const wall_ms AcceptedMs =
        From.size() > AcceptedField
            ? boundedInteger<wall_ms>(From.at(AcceptedField),
                                      {0, limits::MaxWallMs})
            : 0;
    job Job{Id, From.at(3), "", {}, AcceptedMs};
    if (From.size() > CustomerField)
      Job.setCustomer(From.at(CustomerField));
    if (Job.restore(Progress) && Job.ended())
      return Job;
  } catch (const std::exception &) {
    // The progress record of an open job has no queue field.
  }
  return std::nullopt;
}

bool job::restore(const std::string_view Progress) {
  try {
    const json From = parseCbor(Progress);
    const job_state Restored = parseState(From.at(0));
    const auto StoredCount =
        std::min(boundedInteger<std::uint32_t>(From.at(1)), Spec.occurrences());
    // Only the open occurrences are restored: a job may have had millions.
    for (const auto &Each : From.at(2)) {
      const auto Number = boundedInteger<std::uint32_t>(Each.at(0));
      if (Number < OpenedCount || Number >= StoredCount)
        throw field_error{"unexpected occurrence"};
      OpenedCount = Number;
      occurrence &Occurrence = openNext();
      for (std::size_t I = 0; I < Occurrence.Steps.size(); ++I)
        restoreStep(Occurrence.Steps[I], Each.at(1).at(I));
    }
    OpenedCount = StoredCount;
    State = Restored;
    return true;
  } catch (const std::exception &) {
    OpenOccurrences.clear();
    OpenedCount = 0;
    return false;
  }
}

} // namespace galenalink::job
