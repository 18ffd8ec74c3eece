#ifndef GALENALINK_TEST_JOB_SIMULATED_PLATFORM_HPP
#define GALENALINK_TEST_JOB_SIMULATED_PLATFORM_HPP

#include "galenalink/job/controller.hpp"
#include <deque>
#include <map>
#include <set>

namespace galenalink::test {

/** @brief A run on a simulated backend server. */
struct simulated_run {
  time_point StartedAt;
  /** When it ends by itself; a run that lasts has none. */
  time_point EndsAt;
  std::string Checkpoint;
  bool StandsStill{false};
  /** Share of the time in which it works, percent. */
  std::uint32_t Pace{100};
};

/** @brief A backend server that runs tasks under leases as the platform's
 * pages say, on a clock of its own. */
struct simulated_server {
  job::registration Entry;
  std::string Vm;
  /** Its registration is missing, although it works. */
  bool Unregistered{false};
  /** Calls get no answer and are not carried out. */
  bool Silent{false};
  /** Starts are carried out, but get no answer. */
  bool LosesAnswers{false};
  /** Starts get no answer and are carried out after this delay. */
  duration LateBy{0};
  /** Every second start gets no answer and is carried out after `LateBy`. */
  bool LatePartly{false};
  std::uint32_t StartCalls{0};
  /** Everything that is started fails at once. */
  bool FailsAll{false};
  bool RefusesStarts{false};
  /** Stops are not carried out and get no answer. */
  bool IgnoresStops{false};
  std::uint64_t Epoch{0};
  std::int64_t LeaseEndMs{0};
  std::uint64_t Ends{0};
  std::map<job::run_id, simulated_run> Running;
  std::vector<job::listed_end> Listed;
  /** Highest run of each task that ended or was stopped. */
  std::map<job::task_id, std::uint64_t> Closed;
};

/**
 * @brief The platform in virtual time, without a network. It checks what must
 * always hold: no backend server above its room, no task running twice, no
 * start after an end was taken note of.
 */
class simulated_platform {
public:
  simulated_platform();

  time_point Now{std::chrono::seconds{1000}};
  job::ports Ports;
  job::fleet_rules Rules;
  std::map<std::string, simulated_server> Servers;
  std::vector<job::vm> Vms;
  std::map<std::string, std::string> Stored;
  /** The store answers nothing and does nothing. */
  bool StoreDown{false};
  /** Real duration of a task, ms, by its queue's declared estimate. */
  std::function<double(const job::task_id &, std::uint32_t EstimateMs)>
      Duration;
  /** Which backend servers may run a step of an advised queue. */
  std::function<bool(const job::task_id &, const std::string &Server)> MayRun;
  std::uint32_t AdviceCalls{0};
  std::uint32_t TicketsRefused{0};
  /** Tail of a serving task against its bound while tasks that fill work beside
   * it with all of their time; without them it is a third of the bound. */
  double DisturbedTail{0};
  /** Broken rules, for a person. */
  std::vector<std::string> Broken;
  std::uint64_t Starts{0};
  std::uint64_t FencedAppends{0};
  /** Orders for VMs that were carried out, in order. */
  std::vector<job::vm_order> VmOrders;
  /** VMs that had the maintenance of a wave; a repeat does nothing. */
  std::set<std::pair<std::string, std::uint64_t>> Maintained;
  bool Fenced{false};

  simulated_server &addServer(const std::string &Id, const std::string &Pool,
                              std::int64_t Cpu = 32000);
  /** @brief Makes a leader of the next epoch, with what the store has. */
  void elect();
  /** @brief Lets time pass; the leader's duties run every 20 ms. */
  void advance(duration Time);
  /** @return What the caller was told; nothing if there was no answer yet. */
  std::optional<job::caller_reply> submit(const std::string &Queue,
                                          const std::string &Id,
                                          const job::job_spec &Spec);
  job::job_state stateOf(const std::string &Id) const;
  /** @brief Runs of a task on all backend servers. */
  std::size_t running(const job::task_id &Task) const;
  /** @brief Tasks of a job's first step that are at work. */
  std::size_t atWork(const std::string &Job, std::uint32_t Count) const;
  void crash(const std::string &Id);

  std::unique_ptr<job::controller> Leader;
  std::uint64_t Epoch{0};

private:
  void after(duration Delay, std::function<void()> Function);
  void step();
  void endRun(simulated_server &Server, const job::run_id &Run,
              job::run_outcome Outcome);
  void expire(simulated_server &Server);
  void begin(simulated_server &Server, const job::start_order &Order);
  job::order_result start(const job::start_order &Order);
  job::heartbeat_result hold(const job::heartbeat_order &Order);
  job::order_result stop(const job::stop_order &Order);
  void connectStore();
  void connectServers();
  void connectVms();
  job::vm_result orderVm(const job::vm_order &Order);
  void connectAdvice();
  bool ticketHolds(const job::start_order &Order) const;
  std::uint32_t gaugeOf(const simulated_server &Server,
                        const job::run_id &Run) const;

  std::multimap<time_point, std::function<void()>> Events;
  std::map<std::string, std::uint64_t> Sequences;
  std::uint64_t StoreEpoch{0};
  std::set<job::task_id> DoneNoted;
  /** Ends of tickets, by their text. */
  std::map<std::string, time_point> Tickets;
  std::uint32_t NextVm{0};
};

/** @brief A step of equal tasks. */
job::step_spec makeStep(std::uint32_t Count, std::int64_t Cpu,
                        std::uint32_t EstimateMs);
/** @brief One queue, `press`, with a pool of the same name. */
job::fleet_rules onePool();

} // namespace galenalink::test

#endif
