#ifndef GALENALINK_SCHEDULE_QUEUE_SET_HPP
#define GALENALINK_SCHEDULE_QUEUE_SET_HPP

#include "galenalink/core/hash.hpp"
#include "galenalink/schedule/fair_queue.hpp"
#include "galenalink/schedule/flat_index.hpp"
#include "galenalink/schedule/timer_wheel.hpp"
#include "galenalink/schedule/types.hpp"
#include <array>
#include <boost/intrusive/list.hpp>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace galenalink::schedule {

/**
 * @brief An admitted item, queued or running. Kept to two cache lines because
 * the items of a large pool do not fit into the cache.
 */
struct alignas(64) queued_item
    : timer,
      boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::safe_link>> {
  /** Limit on the recorded VMs that failed or refused the item. */
  static constexpr std::uint32_t MaxTriedVms = 5;

  work_item Work;
  /** Estimated slot time; this amount is counted in the backlog. */
  duration Cost{};
  /** Current attempt; set while the item runs. */
  attempt_id Attempt{};
  /** Flow of the item; set on insertion. */
  std::uint32_t Flow{0};
  std::uint8_t Refusals{0};
  std::uint8_t TriedVmCount{0};
  /** Bit N is set if the item failed on `TriedVms[N]`. */
  std::uint8_t FailedMask{0};
  /** True once an attempt of the item may have started. */
  bool MayHaveStarted{false};
  bool Queued{false};
  /** True while the item waits in the list of requeued items. */
  bool Requeued{false};
  std::array<vm_index, MaxTriedVms> TriedVms{};

  /** @brief Latest start time; the item expires if it is still queued. */
  [[nodiscard]] time_point startBy() const noexcept { return due(); }
  [[nodiscard]] std::span<const vm_index> triedVms() const noexcept {
    return {TriedVms.data(), TriedVmCount};
  }
  void addTriedVm(vm_index Vm, bool Failed) noexcept;
};

static_assert(sizeof(queued_item) == 128);

/**
 * @brief Bounded FIFO queues, one for each flow (pair of queue and team),
 * served by fair queueing within each work class.
 *
 * Items are stored in one table of fixed size. Insertion, cancellation and
 * expiry are O(1), apart from the O(log(flows)) of fair queueing. Requeued
 * items wait in a separate list ahead of the others, so that an item which
 * must avoid some VMs does not block its flow.
 */
class queue_set {
public:
  using flow_index = std::uint32_t;

  struct limits {
    std::uint32_t MaxItems{0};
    std::uint32_t MaxFlowItems{0};
  };

  explicit queue_set(limits Limits);

  /** @brief Adds a team, or changes its quota. The customer must not change. */
  void setTeam(team_index Team, std::uint32_t Customer, double Quota);

  /** @brief Changes the class of a queue and of its waiting items. */
  void setClass(queue_index Queue, work_class Class);

  /** @brief Flow of a queue and team; created on first use. */
  flow_index findOrCreateFlow(queue_index Queue, team_index Team);

  /** @brief Reason why no more items can be inserted, or `None`. */
  [[nodiscard]] refusal checkCapacity(flow_index Flow) const noexcept;

  /**
   * @brief Inserts an item. Its id must not be stored yet, and `checkCapacity`
   * must return `None`.
   */
  queued_item &insert(const work_item &Work, flow_index Flow, duration Cost,
                      time_point StartBy);

  /** @brief Requeues a running item, ahead of the other waiting items. */
  void requeue(queued_item &Item);

  /** @brief Next item of a class by fair queueing, or null. Not removed. */
  [[nodiscard]] queued_item *front(work_class Class) noexcept;

  /**
   * @brief First requeued item for which `Accept` returns true, or null. Only
   * the first `MaxRequeuedScanned` items are checked.
   */
  template <typename Function>
  [[nodiscard]] queued_item *findRequeued(Function &&Accept) {
    std::uint32_t Scanned = 0;
    for (auto &Item : Requeued) {
      if (++Scanned > MaxRequeuedScanned)
        return nullptr;
      if (Accept(Item))
        return &Item;
    }
    return nullptr;
  }

  /** @brief Removes an item from its queue; it stays stored as running. */
  void start(queued_item &Item, attempt_id Attempt);

  /** @brief Adds a difference to the service charged to an item's flow. */
  void adjustCharge(const queued_item &Item, duration Difference);

  /** @brief Erases an item, queued or running. */
  void erase(queued_item &Item);

  [[nodiscard]] queued_item *find(item_id Item) noexcept;

  /** @brief Prefetches the index entry that `find` and `insert` access. */
  void prefetch(const item_id Item) const noexcept { ById.prefetch(Item); }

  /** @brief Calls `Fire` for each queued item past its latest start time. */
  template <typename Function>
  void expire(const time_point Now, Function &&Fire) {
    Timers.advance(
        Now, [&](timer &Timer) { Fire(static_cast<queued_item &>(Timer)); });
  }

  /** @brief Number of queued and running items. */
  [[nodiscard]] std::uint32_t size() const noexcept {
    return static_cast<std::uint32_t>(ById.size());
  }
  [[nodiscard]] std::uint32_t waiting(work_class Class) const noexcept;
  [[nodiscard]] std::uint32_t waiting(queue_index Queue) const noexcept;
  /** @brief Estimated slot time of the waiting items of a class. */
  [[nodiscard]] duration backlog(work_class Class) const noexcept;
  [[nodiscard]] duration backlog(flow_index Flow) const noexcept;
  /**
   * @brief Share of its class's service that a flow gets while the set of
   * active flows does not change.
   */
  [[nodiscard]] double share(flow_index Flow) const noexcept;
  [[nodiscard]] work_class classOf(queue_index Queue) const noexcept;

private:
  /** Bounds the cost of a search through items that must avoid some VMs. */
  static constexpr std::uint32_t MaxRequeuedScanned = 4;
  using item_list =
      boost::intrusive::list<queued_item,
                             boost::intrusive::constant_time_size<false>>;

  struct item_hash {
    [[nodiscard]] std::size_t operator()(const item_id Id) const noexcept {
      return hashCombine(static_cast<std::uint64_t>(Id), 0);
    }
  };

  struct flow_record {
    queue_index Queue{};
    std::uint32_t Count{0};
    duration Cost{};
    /** Node in the fair queue of each class. */
    std::array<fair_queue::node, 2> Node{};
    item_list Items;
  };
  struct team_record {
    bool Registered{false};
    double Quota{1};
    std::uint32_t Customer{0};
    std::array<fair_queue::node, 2> Node{};
  };
  struct customer_record {
    double Quota{0};
    std::array<fair_queue::node, 2> Node{};
  };
  struct queue_record {
    work_class Class{};
    std::uint32_t Waiting{0};
    duration Cost{};
    std::vector<flow_index> Flows;
  };

  void remove(queued_item &Item);
  void push(queued_item &Item, time_point StartBy);
  void updateCounters(const queued_item &Item, bool Add) noexcept;
  [[nodiscard]] queue_record &queue(queue_index Queue);

  limits Limits;
  std::vector<queued_item> Table;
  std::vector<std::uint32_t> FreeIndexes;
  std::vector<queue_record> Queues;
  std::vector<team_record> Teams;
  std::vector<customer_record> Customers;
  std::vector<std::unique_ptr<flow_record>> Flows;
  std::unordered_map<std::uint64_t, flow_index> FlowByKey;
  std::array<fair_queue, 2> FairQueues;
  /** Flow of each leaf of `FairQueues`, by node. */
  std::array<std::vector<flow_index>, 2> FlowByNode;
  item_list Requeued;
  timer_wheel Timers;
  std::array<std::uint32_t, 2> Waiting{};
  std::array<duration, 2> Backlog{};
  flat_index<item_id, item_hash> ById;
};

} // namespace galenalink::schedule

#endif
