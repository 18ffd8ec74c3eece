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

/**
 * @brief Failure ratio of recent attempts.
 *
 * The counts are halved when they reach the window, so older attempts lose
 * weight.
 */
class failure_ratio {
public:
  void observe(bool Failure) noexcept;
  /** @brief Removes a failure that was caused by the item, not by the VM. */
  void removeFailure() noexcept;
  [[nodiscard]] double value() const noexcept { return Failures / Total; }

private:
  // Starts at a failure ratio of 2% until enough attempts were observed.
  double Failures{1};
  double Total{50};
};

/**
 * @brief Decides which VMs are ejected, backed off and probed.
 *
 * The evidence that a VM fails far more often than expected is a one-sided
 * cumulative sum (CUSUM) of log-likelihood ratios (Page, "Continuous inspection
 * schemes", Biometrika 41, 1954). The expected failure ratio is the higher of
 * those of the pool and of the queue, so a service release that fails on every
 * VM does not count against the VMs. An ejected VM gets one probe at a time,
 * after a delay that doubles with each failed probe.
 */
class vm_health {
public:
  explicit vm_health(const settings &Settings);

  /** @brief Clears all state of a VM index that is new or reused. */
  void reset(vm_index Vm);
  void remove(vm_index Vm);

  void succeeded(vm_index Vm, queue_index Queue, bool Probe);

  /** @param VmCount VMs in the shard, to bound the ejected share. */
  void failed(vm_index Vm, queue_index Queue, bool Probe, std::uint32_t VmCount,
              time_point Now);

  /** @brief Retracts one failure of each VM that was caused by the item. */
  void retractFailures(std::span<const vm_index> FailedVms, queue_index Queue);

  /** @brief Starts the backoff of a VM that refused work before starting it. */
  void refused(vm_index Vm, time_point Now);

  /** @brief Schedules a new probe after one that ended without a result. */
  void probeAbandoned(vm_index Vm, time_point Now);

  /** @brief Returns an ejected VM whose probe is due, if any. */
  [[nodiscard]] std::optional<vm_index> probeDue() const noexcept;
  void probeStarted(vm_index Vm) noexcept;

  /**
   * @brief Ends backoffs and marks probes due at `Now`. Calls `Changed` with
   * each VM whose backoff ended.
   */
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

  /** @brief Prefetches the record of a VM. */
  void prefetch(const vm_index Vm) const noexcept {
    __builtin_prefetch(&Vms[rawIndex(Vm)], 1);
  }

  /** @brief True if the VM is ejected or in backoff; it gets only probes. */
  [[nodiscard]] bool isExcluded(vm_index Vm) const noexcept;
  [[nodiscard]] bool isEjected(vm_index Vm) const noexcept;
  [[nodiscard]] std::uint32_t ejectedCount() const noexcept {
    return EjectedVms;
  }
  /** @brief Number of VMs that may be ejected out of `VmCount`. */
  [[nodiscard]] std::uint32_t maxEjected(std::uint32_t VmCount) const noexcept;

private:
  using probe_hook = boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::safe_link>>;
  struct record : timer, probe_hook {
    vm_index Index{};
    bool Ejected{false};
    bool InBackoff{false};
    /** Successful probes in a row. */
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
