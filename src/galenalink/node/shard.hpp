#ifndef GALENALINK_NODE_SHARD_HPP
#define GALENALINK_NODE_SHARD_HPP

#include "galenalink/config/service_file.hpp"
#include "galenalink/node/shard_id.hpp"
#include "galenalink/request/ledger.hpp"
#include "galenalink/schedule/shard_scheduler.hpp"
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace galenalink::node {

/** @brief A VM of the shard as the fleet state shows it. */
struct shard_vm {
  std::string Name;
  std::uint64_t Epoch{0};
  /** Up, in no motion and no maintenance; otherwise it gets no new work. */
  bool Placeable{false};
};

/** @brief A queue of one service on the shard's pool. */
struct shard_queue {
  std::string Customer;
  std::string Service;
  config::queue Queue;
};

/** @brief A queue's state for operators. */
struct queue_state {
  std::string Name;
  std::uint32_t Waiting{0};
  schedule::work_class Class{};
  duration MedianRun{};
};

/** @brief Where a shard's effects go, and what it asks of the node. */
struct shard_hooks {
  std::function<void(const request::answer &)> Answer;
  std::function<void(const request::dispatch &)> Dispatch;
  std::function<void(const request::stop_attempt &)> Stop;
  std::function<void(request::replicate)> Replicate;
  /** Clocks and authority, read anew in each step that may dispatch. */
  std::function<request::instant()> Instant;
  std::function<attempt_id()> NextAttempt;
  /** Reports a decision about a request or a VM. */
  std::function<void(std::string_view Subject, std::string Text)> Decided;
  /** Reports the time that a request waited for its slot. */
  std::function<void(const std::string &Queue, duration Wait)> Waited;
};

/**
 * @brief The home's side of one shard: joins the ledger of its requests with
 * the scheduler of its slots, and passes their effects on.
 */
class shard {
public:
  /** @param Requests Made by a takeover; see `start`. */
  shard(shard_id Id, request::ledger Requests, shard_hooks Hooks);

  [[nodiscard]] const shard_id &id() const noexcept { return Id; }

  // Configuration.
  void
  configure(const std::vector<shard_queue> &Queues,
            const std::vector<std::pair<std::string, config::team>> &Teams);
  void setVms(const std::vector<shard_vm> &Vms);
  /** @brief Places nothing more on a VM that is reported as leaving. */
  void drainVm(const std::string &Vm, schedule::vm_state State);

  /**
   * @brief Handles the effects of the takeover, once the queues and the VMs
   * are known.
   */
  void start(request::effects Effects, time_point Now);

  // Requests of callers.
  void submit(request::submission Submission, request::instant At);
  request::cancel_result cancel(const request::request_key &Key,
                                request::waiter Waiter, request::instant At);

  // Answers of backend servers.
  void answered(attempt_id Attempt, shared_text Result, time_point Now);
  void refusedByServer(attempt_id Attempt, time_point Now);
  void failed(attempt_id Attempt, shared_text Message, time_point Now);
  void lost(attempt_id Attempt, time_point Now);
  /** @brief Compares the slots of a VM with what it reports as running. */
  void reconcile(const std::string &Vm, const std::vector<attempt_id> &Running,
                 time_point Now);

  // Replication.
  void rosterChanged(log_offset Version, const std::vector<node_id> &Replicas);
  void acknowledged(const request::replicate_reply &Reply);
  /** @brief Repeats what a replica has not acknowledged. */
  void resend(node_id Node);
  [[nodiscard]] std::vector<request::entry_record> retire(time_point Now);

  /** @brief Expires what is due and dispatches what can be. */
  void tick(time_point Now);

  [[nodiscard]] request::ledger &ledger() noexcept { return Ledger; }
  [[nodiscard]] const request::ledger &ledger() const noexcept {
    return Ledger;
  }
  [[nodiscard]] const schedule::shard_scheduler &scheduler() const noexcept {
    return Scheduler;
  }
  /** @brief Attempts that hold a slot. */
  [[nodiscard]] std::size_t running() const noexcept { return Running.size(); }
  /** @brief Attempts of this shard that are running on a VM. */
  [[nodiscard]] std::vector<queue_state> queueStates() const;
  /** @brief Run time of the work that arrived since the last call. */
  [[nodiscard]] duration takeOffered() noexcept {
    return std::exchange(Offered, duration{});
  }
  /** @brief Estimated run time of the queued work. */
  [[nodiscard]] duration backlog() const noexcept;
  [[nodiscard]] std::size_t runningOn(const std::string &Vm) const;

private:
  void process(request::effects Effects, time_point Now);
  void handle(request::answer &Answer, time_point Now);
  void handle(const request::enqueue &Enqueue, time_point Now);
  void handle(const request::dequeue &Dequeue, time_point Now);
  void handle(const request::dispatch &Dispatch, time_point Now);
  void handle(const request::stop_attempt &Stop, time_point Now);
  void handle(const request::release_slot &Release, time_point Now);
  void handle(request::replicate &Replicate, time_point Now);
  void pump(time_point Now);
  bool place(time_point Now);

  shard_id Id;
  shard_hooks Hooks;
  request::ledger Ledger;
  schedule::shard_scheduler Scheduler;
  /** Effects that followed from effects in progress. */
  request::effects Following;
  bool Processing{false};
  /** By `customer/service/queue`. */
  std::map<std::string, schedule::queue_index> Queues;
  /** By `customer/service/team`. */
  std::map<std::string, schedule::team_index> Teams;
  struct vm_record {
    schedule::vm_index Index{};
    std::uint64_t Epoch{0};
    bool Placeable{false};
  };
  std::map<std::string, vm_record> Vms;
  std::vector<std::string> VmNames;
  std::unordered_map<schedule::item_id, time_point> Arrived;
  /** Attempts that hold a slot, and its VM. */
  std::map<attempt_id, std::string> Running;
  /** Run time of arrived work, refused work included. */
  duration Offered{};
  /** Item that the scheduler gave up; it must not be queued again. */
  std::optional<schedule::item_id> GivenUp;
};

} // namespace galenalink::node

#endif
