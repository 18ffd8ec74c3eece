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
 * @brief Decides which work of a shard runs where and when.
 *
 * The home of the shard owns one and is its only writer. Every function is a
 * pure decision: time is an argument, and the caller sends what it returns.
 * `expire` is called at least every 100 ms, and `next` after each call that
 * may free a slot or add work, until it returns nothing.
 */
class shard_scheduler {
public:
  explicit shard_scheduler(const settings &Settings = {});

  /** @brief Adds a queue, or changes the one of that name. */
  queue_index setQueue(const queue_settings &Queue);
  /** @brief Admits nothing more to a queue; queued items stay. */
  void removeQueue(queue_index Queue);
  /** @brief Adds a team, or changes its quota. A team keeps its member. */
  team_index setTeam(const team_settings &Team);

  /** @brief Adds a VM, or brings it back into state `Up`, by its epoch. */
  vm_index addVm(std::string_view Name, std::uint64_t Epoch);
  /** @brief Places nothing more; forgets the VM when its work has ended. */
  void removeVm(vm_index Vm);
  /** @brief Places nothing more; running work goes on. */
  void drainVm(vm_index Vm, vm_state State = vm_state::Draining);
  /** @brief Takes over the attempts that a VM reports in `/status`. */
  slot_table::reconcile_result
  reconcileAttempts(vm_index Vm, std::span<const attempt_id> Reported,
                    time_point Now);

  /** @brief Takes in work, or refuses it with a retry time. */
  [[nodiscard]] admission enqueue(const work_item &Work, time_point Now);

  /**
   * @brief Takes a slot for the next item. Nothing if no item can be placed;
   * then the attempt id was not used.
   */
  [[nodiscard]] std::optional<dispatch> next(attempt_id Attempt,
                                             time_point Now);

  /**
   * @brief Sets the start of an attempt to now, when the write to the replicas
   * took time after `next`.
   */
  void started(attempt_id Attempt, time_point Now);

  /** @brief The backend server answered completely. */
  end_result finished(attempt_id Attempt, time_point Now);

  /** @brief The attempt began, or may have begun, and has no result. */
  end_result failed(attempt_id Attempt, time_point Now);

  /** @brief The backend server refused the work before it started. */
  end_result refused(attempt_id Attempt, time_point Now);

  /** @brief The attempt was given up before any byte was sent to the VM. */
  end_result abandoned(attempt_id Attempt, time_point Now);

  /** @brief Removes a queued item; a running one keeps its slot. */
  cancel_result cancel(item_id Item);

  /** @brief Appends the items whose time passed while they were queued. */
  void expire(time_point Now, std::vector<expired_item> &Expired);

  [[nodiscard]] const slot_table &slots() const noexcept { return Slots; }
  [[nodiscard]] const queue_set &queues() const noexcept { return Queues; }
  [[nodiscard]] const vm_health &health() const noexcept { return Health; }
  /** @brief Slots that long work may take now. */
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
    class_belief ClassEstimator;
    /** Retry time given to the caller refused last. */
    time_point LastRetryAt{};
    /** When new work last found little waiting. */
    time_point LastShortWaitAt{};
  };
  struct team_record {
    team_settings Settings;
    std::uint32_t CustomerIndex{0};
  };
  /** What holds a slot. */
  struct alignas(64) running_attempt : timer {
    slot_index Slot{};
    queued_item *Item{nullptr};
    time_point StartedAt{};
    bool Probe{false};
    /** Held for an attempt of another node. */
    bool Foreign{false};
    /** The belief already counts this run as long. */
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
  /** @brief Releases the slot of an attempt; null if it holds none. */
  running_attempt *releaseAttempt(attempt_id Attempt);
  [[nodiscard]] end_result endItem(queued_item &Item, vm_index Vm,
                                   verdict Verdict);
  [[nodiscard]] std::uint32_t
  failuresOnHealthyVms(const queued_item &Item) const noexcept;
  void updateExclusion(vm_index Vm);
  void applyDeclaredRunTimes();
  /** @brief Forms beliefs anew when the typical run time has grown. */
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
  /** Run times of all queues together. */
  run_time_estimator OverallRunTime;
  /** Run time from which work is long; follows `Typical`. */
  duration LongThreshold;
  /** `LongThreshold` when the beliefs were last formed. */
  duration EstimateThreshold;
  std::deque<running_attempt> RunningAttempts;
  timer_wheel OverrunTimers;
  std::vector<expired_item> ExpiredItems;
  std::uint32_t ShortQueueCount{0};
  bool AnyIdempotent{false};
};

} // namespace galenalink::schedule

#endif
