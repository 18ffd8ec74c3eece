#ifndef GALENALINK_SCHEDULE_VM_HEALTH_HPP
#define GALENALINK_SCHEDULE_VM_HEALTH_HPP

#include "galenalink/schedule/settings.hpp"
#include "galenalink/schedule/timer_wheel.hpp"
#include "galenalink/schedule/types.hpp"
#include <boost/intrusive/list.hpp>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace galenalink::schedule {

/** @brief Failure ratio of recent attempts; older ones are halved away. */
class failure_ratio {
public:
  void observe(bool Failure) noexcept;
  /** @brief Takes back a failure that turned out to be the job's. */
  void removeFailure() noexcept;
  [[nodiscard]] double value() const noexcept { return Failures / Total; }

private:
  // One failure in 50 attempts is expected until more is known.
  double Failures{1};
  double Total{50};
};

/**
 * @brief Decides which VMs are ejected, paused and probed.
 *
 * For each VM the evidence that it fails far more often than expected is a
 * one-sided cumulative sum of log-likelihood ratios (Page, "Continuous
 * inspection schemes", Biometrika 41, 1954). The expected ratio is the higher
 * of the pool's and the queue's, so a release that fails everywhere does not
 * count against the VMs. An ejected VM gets one probe at a time after a wait
 * that doubles.
 */
class vm_health {
public:
  explicit vm_health(const settings &Settings);

  /** @brief Starts without evidence, also for a reused index. */
  void reset(vm_index Vm);
  void remove(vm_index Vm);

  void succeeded(vm_index Vm, queue_index Queue, bool Probe);

  /** @param Vms VMs of the shard, for the bound on the ejected share. */
  void failed(vm_index Vm, queue_index Queue, bool Probe, std::uint32_t VmCount,
              time_point Now);

  /** @brief Takes back one failure of each VM that was caused by the job. */
  void retractFailures(std::span<const vm_index> FailedVms, queue_index Queue);

  /** @brief Pauses a VM that refused work before starting it. */
  void refused(vm_index Vm, time_point Now);

  /** @brief The probe ended without telling anything about the VM. */
  void probeAbandoned(vm_index Vm, time_point Now);

  /** @brief An ejected VM whose probe is due. */
  [[nodiscard]] std::optional<vm_index> probeDue() const noexcept;
  void probeStarted(vm_index Vm) noexcept;

  /** @brief Ends pauses, and calls `Changed` with each VM concerned. */
  template <typename Function>
  void advance(const time_point Now, Function &&Changed) {
    Timers.advance(Now, [&](timer &Timer) {
      auto &Vm = static_cast<record &>(Timer);
      if (Vm.Ejected) {
        DueProbes.push_back(Vm);
        return;
      }
      Vm.InBackoff = false;
      Changed(Vm.Index);
    });
  }

  /** @brief Starts to load the record of a VM. */
  void prefetch(const vm_index Vm) const noexcept {
    __builtin_prefetch(&Vms[raw(Vm)], 1);
  }

  /** @brief True if the VM gets no work other than probes. */
  [[nodiscard]] bool isExcluded(vm_index Vm) const noexcept;
  [[nodiscard]] bool isEjected(vm_index Vm) const noexcept;
  [[nodiscard]] std::uint32_t ejectedCount() const noexcept {
    return EjectedVms;
  }
  /** @brief Most VMs that may be ejected out of the given number. */
  [[nodiscard]] std::uint32_t maxEjected(std::uint32_t VmCount) const noexcept;

private:
  using probe_hook = boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::safe_link>>;
  struct record : timer, probe_hook {
    vm_index Index{};
    bool Ejected{false};
    bool InBackoff{false};
    std::uint32_t ProbeSuccesses{0};
    std::uint32_t ConsecutiveSuccesses{0};
    double Evidence{0};
    duration ProbeDelay{};
    duration Backoff{};
  };
  using probe_list =
      boost::intrusive::list<record,
                             boost::intrusive::constant_time_size<false>>;

  [[nodiscard]] double expectedRatio(queue_index Queue) const noexcept;
  [[nodiscard]] failure_ratio &queueRatio(queue_index Queue);
  void endEjection(record &Vm) noexcept;
  void removeDueProbe(record &Vm) noexcept;

  settings Settings;
  std::deque<record> Vms;
  std::vector<failure_ratio> QueueRatios;
  failure_ratio PoolRatio;
  timer_wheel Timers;
  probe_list DueProbes;
  std::uint32_t EjectedVms{0};
};

} // namespace galenalink::schedule

#endif
