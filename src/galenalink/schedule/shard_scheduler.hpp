#ifndef GALENALINK_SCHEDULE_SHARD_SCHEDULER_HPP
#define GALENALINK_SCHEDULE_SHARD_SCHEDULER_HPP

#include "galenalink/schedule/queue_set.hpp"
#include "galenalink/schedule/retry_budget.hpp"
#include "galenalink/schedule/run_time_estimator.hpp"
#include "galenalink/schedule/settings.hpp"
#include "galenalink/schedule/slot_table.hpp"
#include "galenalink/schedule/vm_health.hpp"
#include <deque>
#include <string>
#include <vector>

namespace galenalink::schedule {

/**
 * @brief Decides which work of a shard runs on which VM and when.
 *
 * The home node of the shard owns the scheduler and is its only writer. The
 * functions do no I/O and read no clock: the time is an argument, and the
 * caller sends the dispatches that are returned. `expire` must be called at
 * least every 100 ms. After each call that may free a slot or add work, `next`
 * must be called until it returns `nullopt`.
 */
class shard_scheduler {
public:
  explicit shard_scheduler(const settings &Settings = {});

  /** @brief Adds a queue, or updates the queue of the same name. */
  queue_index setQueue(const queue_settings &Queue);
  /** @brief Stops admission to a queue; queued items stay. */
  void removeQueue(queue_index Queue);
  /** @brief Adds a team, or updates its quota. Its customer cannot change. */
  team_index setTeam(const team_settings &Team);

  /**
   * @brief Adds a VM, or returns it to state `Up` under the new epoch. An epoch
   * lower than the stored one is ignored.
   */
  vm_index addVm(std::string_view Name, std::uint64_t Epoch);
  /** @brief Stops placement on a VM and erases it when its work has ended. */
  void removeVm(vm_index Vm);
  /** @brief Stops placement on a VM; running work continues. */
  void drainVm(vm_index Vm, vm_state State = vm_state::Draining);
  /**
   * @brief Takes slots for the attempts of other nodes that a VM reports in
   * `/status`, and releases those that it no longer reports.
   */
  slot_table::reconcile_result
  reconcileAttempts(vm_index Vm, std::span<const attempt_id> Reported,
                    time_point Now);

  /** @brief Admits an item, or refuses it with a reason and a retry time. */
  [[nodiscard]] admission enqueue(const work_item &Work, time_point Now);

  /**
   * @brief Takes a slot for the next item.
   * @return `nullopt` if no item can be placed; `Attempt` is then unused.
   */
  [[nodiscard]] std::optional<dispatch> next(attempt_id Attempt,
                                             time_point Now);

  /**
   * @brief Sets the start time of an attempt to `Now`. Without this call, the
   * time to replicate the dispatch after `next` counts as run time.
   */
  void started(attempt_id Attempt, time_point Now);

  /** @brief The backend server sent a complete response. */
  attempt_end finished(attempt_id Attempt, time_point Now);

  /** @brief The attempt may have started, and ended without a result. */
  attempt_end failed(attempt_id Attempt, time_point Now);

  /** @brief The backend server refused the work before it started. */
  attempt_end refused(attempt_id Attempt, time_point Now);

  /** @brief The attempt was abandoned before any byte was sent to the VM. */
  attempt_end abandoned(attempt_id Attempt, time_point Now);

  /** @brief Removes a queued item; a running one keeps its slot. */
  cancel_result cancel(item_id Item);

  /** @brief Appends the items that expired while they were queued. */
  void expire(time_point Now, std::vector<expired_item> &Expired);

  [[nodiscard]] const slot_table &slots() const noexcept { return Slots; }
  [[nodiscard]] const queue_set &queues() const noexcept { return Queues; }
  [[nodiscard]] const vm_health &health() const noexcept { return Health; }
  /** @brief Number of slots that long work may use at present. */
  [[nodiscard]] std::uint32_t maxLongSlots() const noexcept;
  /** @brief Estimated time until new work of the flow would start. */
  [[nodiscard]] duration estimateWait(queue_index Queue, team_index Team);
  [[nodiscard]] duration medianRunTime(queue_index Queue) const;

private:
  struct queue_record {
    queue_settings Settings;
    std::uint32_t ServiceIndex{0};
    bool AcceptsWork{true};
    run_time_estimator RunTime;
    class_estimator ClassEstimator;
    /** When the most recently refused caller was told to retry. */
    time_point LastRetryAt{};
    /** When new work last had a short estimated wait. */
    time_point LastShortWaitAt{};
  };
  struct team_record {
    team_settings Settings;
    std::uint32_t CustomerIndex{0};
  };
  /** The attempt that holds a slot, one record per slot. */
  struct alignas(64) running_attempt : timer {
    slot_index Slot{};
    /** Null for a foreign attempt and for a free slot. */
    queued_item *Item{nullptr};
    time_point StartedAt{};
    bool Probe{false};
    /** The attempt was started by another node. */
    bool Foreign{false};
    /** The class estimate already counts this run as long. */
    bool CountedAsLong{false};
  };

  void advance(time_point Now);
  void handleOverrun(running_attempt &Run, time_point Now);
  [[nodiscard]] duration computeLongThreshold() const;
  [[nodiscard]] duration overrunThreshold(const queue_record &Queue) const;
  void observeClass(queue_index Queue, work_class Run);
  void applyEstimatedClass(queue_index Queue);
  [[nodiscard]] std::uint32_t slotsForClass(work_class Class) const noexcept;
  [[nodiscard]] duration estimateFlowWait(queue_set::flow_index Flow,
                                          work_class Class) const;
  [[nodiscard]] duration maxAdmissibleWait(queue_record &Queue, duration Wait,
                                           duration UntilStart,
                                           time_point Now) const;
  [[nodiscard]] duration retryAfter(queue_record &Queue, work_class Class,
                                    duration Excess, time_point Now);
  [[nodiscard]] std::optional<vm_index> chooseVm(const queued_item &Item,
                                                 work_class Class) const;
  [[nodiscard]] bool mayStartLong() const noexcept;
  [[nodiscard]] std::uint32_t maxLongVms() const noexcept;
  [[nodiscard]] std::optional<dispatch>
  tryPlace(queued_item *Item, attempt_id Attempt, time_point Now);
  dispatch place(queued_item &Item, vm_index Vm, attempt_id Attempt,
                 time_point Now);
  /** @brief Releases the slot of an attempt; null if the attempt has none. */
  running_attempt *releaseAttempt(attempt_id Attempt);
  /** @brief Detaches the item of an attempt that did not start, and takes back
   * its charge.
   * @return Null if the item has ended before. */
  [[nodiscard]] queued_item *takeUnstartedItem(running_attempt &Run);
  [[nodiscard]] attempt_end endItem(queued_item &Item, vm_index Vm,
                                    attempt_disposition Disposition);
  /** @brief Ends an item whose latest attempt did not start. */
  [[nodiscard]] attempt_end endUnstartedItem(queued_item &Item, vm_index Vm);
  [[nodiscard]] std::uint32_t
  failuresOnHealthyVms(const queued_item &Item) const noexcept;
  void updateExclusion(vm_index Vm);
  void applyDeclaredRunTimes();
  /**
   * @brief Reclassifies the queues with observed runs when `LongThreshold` has
   * doubled since the last reclassification.
   */
  void resetClassEstimates();

  settings Settings;
  slot_table Slots;
  queue_set Queues;
  vm_health Health;
  std::vector<queue_record> QueueRecords;
  std::vector<team_record> TeamRecords;
  std::vector<std::string> Customers;
  std::vector<std::string> Services;
  std::vector<retry_budget> RetryBudgets;
  /** Run times of all queues combined. */
  run_time_estimator OverallRunTime;
  /** Run time from which work is long; derived from `OverallRunTime`. */
  duration LongThreshold;
  /** `LongThreshold` when the queues were last reclassified. */
  duration EstimateThreshold;
  std::deque<running_attempt> RunningAttempts;
  timer_wheel OverrunTimers;
  std::vector<expired_item> ExpiredItems;
  std::uint32_t ShortQueueCount{0};
  bool AnyIdempotent{false};
};

} // namespace galenalink::schedule

#endif
