#include "galenalink/schedule/vm_health.hpp"
#include <algorithm>
#include <cmath>

namespace galenalink::schedule {

namespace {

/** Attempts at which the counts of a failure ratio are halved. */
constexpr double RatioWindowAttempts = 512;

/**
 * Evidence at which a VM is ejected. A cumulative sum of log-likelihood ratios
 * raises a false alarm at most once in exp(threshold) outcomes on average, here
 * once in a million. At an expected failure ratio of 2%, five failures in a row
 * reach it.
 */
constexpr double EjectionEvidence = 14;

/**
 * Successes in a row after which the probe delay is reset, so that an earlier
 * ejection no longer lengthens it.
 */
constexpr std::uint32_t ProbeDelayResetSuccesses = 64;

/** Failure ratio of a faulty VM, the alternative hypothesis of the test. */
[[nodiscard]] double suspectRatio(const double Expected) noexcept {
  return std::min(std::max(0.5, 3 * Expected), 0.95);
}

[[nodiscard]] double failureEvidence(const double Expected) noexcept {
  return std::max(std::log(suspectRatio(Expected) / Expected), 0.0);
}

[[nodiscard]] double successEvidence(const double Expected) noexcept {
  return std::min(std::log((1 - suspectRatio(Expected)) / (1 - Expected)), 0.0);
}

} // namespace

void failure_ratio::observe(const bool Failure) noexcept {
  if (Total >= RatioWindowAttempts) {
    Failures /= 2;
    Total /= 2;
  }
  Total += 1;
  Failures += Failure ? 1 : 0;
}

void failure_ratio::removeFailure() noexcept {
  // Keep at least one failure, so that the ratio is never 0.
  if (Failures >= 2)
    Failures -= 1;
}

vm_health::vm_health(const settings &Settings) : Settings{Settings} {}

void vm_health::reset(const vm_index Vm) {
  while (Vms.size() <= rawIndex(Vm)) {
    const vm_index Index{static_cast<std::uint32_t>(Vms.size())};
    Vms.emplace_back().Index = Index;
  }
  remove(Vm);
  auto &Record = Vms[rawIndex(Vm)];
  Record.Evidence = 0;
  Record.ConsecutiveSuccesses = 0;
  Record.ProbeDelay = Settings.InitialProbeDelay;
  Record.Backoff = Settings.InitialRefusalBackoff;
}

void vm_health::remove(const vm_index Vm) {
  auto &Record = Vms[rawIndex(Vm)];
  endEjection(Record);
  Record.InBackoff = false;
  Timers.remove(Record);
}

void vm_health::endEjection(record &Vm) noexcept {
  if (!Vm.Ejected)
    return;
  Vm.Ejected = false;
  Vm.ProbeSuccesses = 0;
  Vm.Evidence = 0;
  --EjectedVms;
  Timers.remove(Vm);
  removeDueProbe(Vm);
}

void vm_health::removeDueProbe(record &Vm) noexcept {
  if (static_cast<probe_hook &>(Vm).is_linked())
    DueProbes.erase(probe_list::s_iterator_to(Vm));
}

failure_ratio &vm_health::queueRatio(const queue_index Queue) {
  if (QueueRatios.size() <= rawIndex(Queue))
    QueueRatios.resize(rawIndex(Queue) + 1);
  return QueueRatios[rawIndex(Queue)];
}

double vm_health::expectedRatio(const queue_index Queue) const noexcept {
  const auto QueueRatio = rawIndex(Queue) < QueueRatios.size()
                              ? QueueRatios[rawIndex(Queue)].value()
                              : 0;
  return std::min(std::max(PoolRatio.value(), QueueRatio), 0.99);
}

void vm_health::succeeded(const vm_index Vm, const queue_index Queue,
                          const bool Probe) {
  auto &Record = Vms[rawIndex(Vm)];
  Record.Backoff = Settings.InitialRefusalBackoff;
  const auto Expected = expectedRatio(Queue);
  PoolRatio.observe(false);
  queueRatio(Queue).observe(false);
  if (Record.Ejected) {
    // Work that was already running at the ejection says little about the
    // current state of the VM.
    if (!Probe)
      return;
    if (++Record.ProbeSuccesses >= Settings.ProbeSuccessThreshold)
      endEjection(Record);
    else
      DueProbes.push_back(Record);
    return;
  }
  Record.Evidence = std::max(Record.Evidence + successEvidence(Expected), 0.0);
  if (++Record.ConsecutiveSuccesses >= ProbeDelayResetSuccesses)
    Record.ProbeDelay = Settings.InitialProbeDelay;
}

void vm_health::failed(const vm_index Vm, const queue_index Queue,
                       const bool Probe, const std::uint32_t VmCount,
                       const time_point Now) {
  auto &Record = this->Vms[rawIndex(Vm)];
  if (Record.Ejected) {
    // Failures of an ejected VM are not added to the pool's ratio, which would
    // otherwise mask the next faulty VM.
    if (!Probe)
      return;
    Record.ProbeSuccesses = 0;
    Record.ProbeDelay = std::min(2 * Record.ProbeDelay, Settings.MaxProbeDelay);
    Timers.add(Record, Now + Record.ProbeDelay);
    return;
  }
  const auto Expected = expectedRatio(Queue);
  PoolRatio.observe(true);
  queueRatio(Queue).observe(true);
  Record.ConsecutiveSuccesses = 0;
  Record.Evidence = std::min(Record.Evidence + failureEvidence(Expected),
                             2 * EjectionEvidence);
  if (Record.Evidence < EjectionEvidence || EjectedVms >= maxEjected(VmCount))
    return;
  Record.Ejected = true;
  Record.InBackoff = false;
  Record.ProbeSuccesses = 0;
  ++EjectedVms;
  Timers.add(Record, Now + Record.ProbeDelay);
}

void vm_health::retractFailures(const std::span<const vm_index> FailedVms,
                                const queue_index Queue) {
  // The ratios are corrected before the evidence, so that the weight of a
  // failure is computed without the failures of this item and its evidence is
  // removed completely.
  for (std::size_t Count = 0; Count < FailedVms.size(); ++Count) {
    PoolRatio.removeFailure();
    queueRatio(Queue).removeFailure();
  }
  const auto Weight = failureEvidence(expectedRatio(Queue));
  for (const auto Vm : FailedVms) {
    if (rawIndex(Vm) >= Vms.size())
      continue;
    auto &Record = Vms[rawIndex(Vm)];
    Record.Evidence = std::max(Record.Evidence - Weight, 0.0);
    if (Record.Ejected && Record.Evidence < EjectionEvidence)
      endEjection(Record);
  }
}

void vm_health::refused(const vm_index Vm, const time_point Now) {
  auto &Record = Vms[rawIndex(Vm)];
  if (Record.Ejected)
    return;
  Record.InBackoff = true;
  Timers.add(Record, Now + Record.Backoff);
  Record.Backoff = std::min(2 * Record.Backoff, Settings.MaxRefusalBackoff);
}

void vm_health::probeAbandoned(const vm_index Vm, const time_point Now) {
  auto &Record = Vms[rawIndex(Vm)];
  if (Record.Ejected)
    Timers.add(Record, Now + Record.ProbeDelay);
}

std::optional<vm_index> vm_health::probeDue() const noexcept {
  return DueProbes.empty() ? std::nullopt
                           : std::optional{DueProbes.front().Index};
}

void vm_health::probeStarted(const vm_index Vm) noexcept {
  removeDueProbe(Vms[rawIndex(Vm)]);
}

bool vm_health::isExcluded(const vm_index Vm) const noexcept {
  return Vms[rawIndex(Vm)].Ejected || Vms[rawIndex(Vm)].InBackoff;
}
bool vm_health::isEjected(const vm_index Vm) const noexcept {
  return rawIndex(Vm) < Vms.size() && Vms[rawIndex(Vm)].Ejected;
}

std::uint32_t
vm_health::maxEjected(const std::uint32_t VmCount) const noexcept {
  if (VmCount < 2)
    return 0;
  return std::max(
      1U, static_cast<std::uint32_t>(Settings.MaxEjectedShare * VmCount));
}

} // namespace galenalink::schedule
