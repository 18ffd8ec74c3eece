#include "galenalink/job/job_limits.hpp"
#include "galenalink/job/job.hpp"
#include <algorithm>
#include <numeric>

namespace galenalink::job {

namespace {

bool isResource(const std::int64_t Value) noexcept {
  return Value >= 0 && Value <= limits::MaxResource;
}

std::string checkStep(const step_spec &Step, const std::size_t Index) {
  if (Step.Count == 0)
    return "a step has no tasks";
  if (!isResource(Step.Size.Cpu) || !isResource(Step.Size.Memory) ||
      !isResource(Step.Size.Gpu))
    return "a step's resources are out of range";
  if (Step.Label.size() > limits::MaxNameBytes ||
      Step.Rack.size() > limits::MaxNameBytes ||
      Step.Image.size() > limits::MaxNameBytes)
    return "a step has a name that is too long";
  if (std::ranges::any_of(Step.DependsOn, [&](const std::uint32_t Earlier) {
        return Earlier >= Index;
      }))
    return "a step depends on a step that is not an earlier one";
  return {};
}

/** @brief Whether the record of a job with this specification fits into the
 * store. The exact size is computed only for large specifications. */
bool isStorable(const job_spec &Spec) {
  constexpr std::size_t Limit =
      limits::MaxRecordBytes - limits::RecordReserveBytes;
  constexpr std::size_t MaxNumbersBytes = 80;
  constexpr std::size_t MaxDependencyBytes = 5;
  std::size_t UpperBound = Spec.Spec.size();
  for (const step_spec &Step : Spec.Steps)
    UpperBound += MaxNumbersBytes + MaxDependencyBytes * Step.DependsOn.size() +
                  Step.Label.size() + Step.Rack.size() + Step.Image.size();
  return UpperBound <= Limit ||
         toRecord(job{"", "", "", Spec, 0}).size() <= Limit;
}

} // namespace

bool isValidJobId(const std::string_view Id) noexcept {
  return !Id.empty() && Id.size() <= limits::MaxJobIdBytes &&
         std::ranges::all_of(Id, [](const char Each) {
           return (Each >= '0' && Each <= '9') ||
                  (Each >= 'a' && Each <= 'z') ||
                  (Each >= 'A' && Each <= 'Z') || Each == '-' || Each == '_';
         });
}

std::uint64_t taskCount(const job_spec &Spec) noexcept {
  return std::accumulate(Spec.Steps.begin(), Spec.Steps.end(), std::uint64_t{0},
                         [](const std::uint64_t Sum, const step_spec &Step) {
                           return Sum + Step.Count;
                         });
}

std::string checkSpec(const job_spec &Spec) {
  if (Spec.Spec.size() > limits::MaxSpecBytes)
    return "the specification is too long";
  if (Spec.Steps.empty() || Spec.Steps.size() > limits::MaxSteps)
    return "no steps or too many";
  if (taskCount(Spec) > limits::MaxTasks)
    return "too many tasks";
  if (Spec.Times > limits::MaxOccurrences)
    return "too many occurrences";
  if (Spec.StartAtMs < 0 || Spec.StartAtMs > limits::MaxWallMs)
    return "the start time is out of range";
  std::size_t Dependencies = 0;
  for (std::size_t I = 0; I < Spec.Steps.size(); ++I) {
    if (auto Reason = checkStep(Spec.Steps[I], I); !Reason.empty())
      return Reason;
    Dependencies += Spec.Steps[I].DependsOn.size();
  }
  if (Dependencies > limits::MaxDependencies)
    return "too many dependencies";
  return isStorable(Spec) ? "" : "the steps are too large to be stored";
}

} // namespace galenalink::job
