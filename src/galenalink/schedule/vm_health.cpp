#include "galenalink/schedule/vm_health.hpp"
#include <algorithm>
#include <cmath>

namespace galenalink::schedule {

namespace {

/** Attempts after which the older half of a failure ratio fades. */
constexpr double RatioWindow = 512;

/**
 * Evidence at which a VM is ejected. A cumulative sum of log-likelihood ratios
 * raises a false alarm at most once in exp(threshold) outcomes on average,
 * here once in a million. It takes five failures in a row at a ratio of 2%.
 */
constexpr double Threshold = 14;

/** Successes after which an earlier ejection no longer lengthens the wait. */
constexpr std::uint32_t Recovered = 64;

/** Failure ratio that is told from the expected one: far above it. */
[[nodiscard]] double suspected(const double Expected) noexcept {
  return std::min(std::max(0.5, 3 * Expected), 0.95);
}

[[nodiscard]] double failureEvidence(const double Expected) noexcept {
  return std::max(std::log(suspected(Expected) / Expected), 0.0);
}

[[nodiscard]] double successEvidence(const double Expected) noexcept {
  return std::min(std::log((1 - suspected(Expected)) / (1 - Expected)), 0.0);
}

} // namespace

void failure_ratio::observe(const bool Failure) noexcept {
  if (Total >= RatioWindow) {
    Failures /= 2;
    Total /= 2;
  }
  Total += 1;
  Failures += Failure ? 1 : 0;
}

void failure_ratio::forgive() noexcept {
  // One expected failure stays, so that the ratio is never 0.
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
  Record.Successes = 0;
  Record.ProbeWait = Settings.InitialProbeDelay;
  Record.Pause = Settings.InitialRefusalBackoff;
}

void vm_health::remove(const vm_index Vm) {
  auto &Record = Vms[rawIndex(Vm)];
  endEjection(Record);
  Record.Paused = false;
  Timers.remove(Record);
}

void vm_health::endEjection(record &Vm) noexcept {
  if (!Vm.Ejected)
    return;
  Vm.Ejected = false;
  Vm.Probes = 0;
  Vm.Evidence = 0;
  --Ejected;
  Timers.remove(Vm);
  unlinkProbe(Vm);
}

void vm_health::unlinkProbe(record &Vm) noexcept {
  if (static_cast<probe_hook &>(Vm).is_linked())
    ProbesDue.erase(probe_list::s_iterator_to(Vm));
}

failure_ratio &vm_health::ratio(const queue_index Queue) {
  if (Queues.size() <= rawIndex(Queue))
    Queues.resize(rawIndex(Queue) + 1);
  return Queues[rawIndex(Queue)];
}

double vm_health::expected(const queue_index Queue) const noexcept {
  const auto OfQueue =
      rawIndex(Queue) < Queues.size() ? Queues[rawIndex(Queue)].value() : 0;
  return std::min(std::max(Pool.value(), OfQueue), 0.99);
}

void vm_health::succeeded(const vm_index Vm, const queue_index Queue,
                          const bool Probe) {
  auto &Record = Vms[rawIndex(Vm)];
  Record.Pause = Settings.InitialRefusalBackoff;
  const auto Expected = expected(Queue);
  Pool.observe(false);
  ratio(Queue).observe(false);
  if (Record.Ejected) {
    // Work that was running at the ejection says little about now.
    if (!Probe)
      return;
    if (++Record.Probes >= Settings.ProbeSuccessThreshold)
      endEjection(Record);
    else
      ProbesDue.push_back(Record);
    return;
  }
  Record.Evidence = std::max(Record.Evidence + successEvidence(Expected), 0.0);
  if (++Record.Successes >= Recovered)
    Record.ProbeWait = Settings.InitialProbeDelay;
}

void vm_health::failed(const vm_index Vm, const queue_index Queue,
                       const bool Probe, const std::uint32_t Vms,
                       const time_point Now) {
  auto &Record = this->Vms[rawIndex(Vm)];
  if (Record.Ejected) {
    // Failures of an ejected VM stay out of the pool's ratio, which would
    // otherwise hide the next bad VM.
    if (!Probe)
      return;
    Record.Probes = 0;
    Record.ProbeWait = std::min(2 * Record.ProbeWait, Settings.MaxProbeDelay);
    Timers.add(Record, Now + Record.ProbeWait);
    return;
  }
  const auto Expected = expected(Queue);
  Pool.observe(true);
  ratio(Queue).observe(true);
  Record.Successes = 0;
  Record.Evidence =
      std::min(Record.Evidence + failureEvidence(Expected), 2 * Threshold);
  if (Record.Evidence < Threshold || Ejected >= ejectedMost(Vms))
    return;
  Record.Ejected = true;
  Record.Paused = false;
  Record.Probes = 0;
  ++Ejected;
  Timers.add(Record, Now + Record.ProbeWait);
}

void vm_health::forgive(const std::span<const vm_index> Blamed,
                        const queue_index Queue) {
  // First the ratios, then the evidence: the weight of a failure is the one at
  // the ratio without the failures of this job, so none of it stays behind.
  for (std::size_t Count = 0; Count < Blamed.size(); ++Count) {
    Pool.forgive();
    ratio(Queue).forgive();
  }
  const auto Weight = failureEvidence(expected(Queue));
  for (const auto Vm : Blamed) {
    if (rawIndex(Vm) >= Vms.size())
      continue;
    auto &Record = Vms[rawIndex(Vm)];
    Record.Evidence = std::max(Record.Evidence - Weight, 0.0);
    if (Record.Ejected && Record.Evidence < Threshold)
      endEjection(Record);
  }
}

void vm_health::refused(const vm_index Vm, const time_point Now) {
  auto &Record = Vms[rawIndex(Vm)];
  if (Record.Ejected)
    return;
  Record.Paused = true;
  Timers.add(Record, Now + Record.Pause);
  Record.Pause = std::min(2 * Record.Pause, Settings.MaxRefusalBackoff);
}

void vm_health::probeAbandoned(const vm_index Vm, const time_point Now) {
  auto &Record = Vms[rawIndex(Vm)];
  if (Record.Ejected)
    Timers.add(Record, Now + Record.ProbeWait);
}

std::optional<vm_index> vm_health::probeDue() const noexcept {
  return ProbesDue.empty() ? std::nullopt
                           : std::optional{ProbesDue.front().Index};
}

void vm_health::probeStarted(const vm_index Vm) noexcept {
  unlinkProbe(Vms[rawIndex(Vm)]);
}

bool vm_health::held(const vm_index Vm) const noexcept {
  return Vms[rawIndex(Vm)].Ejected || Vms[rawIndex(Vm)].Paused;
}
bool vm_health::ejected(const vm_index Vm) const noexcept {
  return rawIndex(Vm) < Vms.size() && Vms[rawIndex(Vm)].Ejected;
}

std::uint32_t vm_health::ejectedMost(const std::uint32_t Vms) const noexcept {
  if (Vms < 2)
    return 0;
  return std::max(1U,
                  static_cast<std::uint32_t>(Settings.MaxEjectedShare * Vms));
}

} // namespace galenalink::schedule
