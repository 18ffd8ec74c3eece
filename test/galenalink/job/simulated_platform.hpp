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
  /** When it completes; `time_point::max()` for a long-running task. */
  time_point EndsAt;
  std::string Checkpoint;
  bool Stalled{false};
  /** Share of CPU time that it may use, percent. */
  std::uint32_t Pace{100};
};

/** @brief A backend server that runs tasks under leases, by the platform's
 * protocol and on its own clock, with injectable faults. */
struct simulated_server {
  job::registration Entry;
  std::string Vm;
  /** Its registration is missing although it is running. */
  bool Unregistered{false};
  /** Requests are not carried out and get no response. */
  bool Unresponsive{false};
  /** Starts are carried out but get no response. */
  bool DropsStartResponses{false};
  /** Starts get no response and are carried out after this delay; 0 for none.
   */
  duration StartDelay{0};
  /** `StartDelay` applies only to every second start. */
  bool DelaysAlternateStarts{false};
  std::uint32_t StartCalls{0};
  /** Every run fails at once. */
  bool FailsAll{false};
  bool RefusesStarts{false};
  /** Stops are not carried out and get no response. */
  bool IgnoresStops{false};
  /** Time that it takes to end runs whose lease has expired, ms. */
  std::int64_t KillMs{0};
  std::uint64_t Epoch{0};
  std::int64_t LeaseEndMs{0};
  std::uint64_t Ends{0};
  std::map<job::run_id, simulated_run> Running;
  std::vector<job::listed_end> Listed;
  /** Highest run number of each task that ended or was stopped. */
  std::map<job::task_id, std::uint64_t> HighestClosedRun;
};

/**
 * @brief The platform in virtual time, without a network. It checks the
 * invariants: no backend server exceeds its capacity, no task runs twice unless
 * copies are allowed, and no task starts after its completion was acknowledged.
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
  /** The list of VMs has rows that could not be read. */
  bool VmListIncomplete{false};
  /** Appends are not carried out and get no response. */
  bool StoreDown{false};
  /** Time of an append. */
  duration AppendTime{std::chrono::milliseconds{8}};
  /** Ends that a heartbeat response lists; the others follow once these are
   * acknowledged. */
  std::size_t EndsPerResponse{500};
  /** By how much the wall clock of the present leader is ahead, ms. */
  wall_ms ClockOffsetMs{0};
  /** Actual duration of a task, ms, from its declared estimate. */
  std::function<double(const job::task_id &, std::uint32_t EstimateMs)>
      Duration;
  /** Whether a backend server may run a step of an advised queue. */
  std::function<bool(const job::task_id &, const std::string &Server)>
      IsAllowed;
  std::uint32_t TicketRequests{0};
  std::uint32_t TicketsRefused{0};
  /** Ratio of the tail latency of a latency-sensitive task to its target while
   * a best-effort task beside it runs at full pace; a third without one. */
  double ContendedTailRatio{0};
  /** Descriptions of the invariants that were violated. */
  std::vector<std::string> Violations;
  std::uint64_t Starts{0};
  std::uint64_t FencedAppends{0};
  /** VM orders that were carried out, oldest first. */
  std::vector<job::vm_order> VmOrders;
  /** Each maintained VM with its wave; a repeated order has no effect. */
  std::set<std::pair<std::string, std::uint64_t>> Maintained;
  bool Fenced{false};
  /** Whether the store confirms the leader at all times. */
  bool LeadershipConfirmed{true};
  /** If it does not: when it last did. */
  time_point LeadershipConfirmedAt{NoDeadline};
  /** When the next leader has read its predecessor's latest record; unset for
   * the time of its election. */
  std::optional<time_point> PredecessorSeenAt;

  simulated_server &addServer(const std::string &Id, const std::string &Pool,
                              std::int64_t Cpu = 32000);
  /** @brief Creates the leader of the next epoch from the stored records. */
  void elect();
  /** @brief Advances the time; the leader's periodic work runs every 20 ms. */
  void advance(duration Time);
  /** @param KnownSince A version of the rules that has the queue.
   * @param Customer Customer that submits the job; empty for none.
   * @return The reply to the caller; `nullopt` without one after 40 ms. */
  std::optional<job::caller_reply> submit(const std::string &Queue,
                                          const std::string &Id,
                                          const job::job_spec &Spec,
                                          std::uint64_t KnownSince = 0,
                                          const std::string &Customer = {});
  job::job_state stateOf(const std::string &Id) const;
  /** @return Number of runs of a task on all backend servers. */
  std::size_t countRunning(const job::task_id &Task) const;
  /** @return Number of a job's tasks with an index below `Count` that have
   * finished starting up. */
  std::size_t countServing(const std::string &Job, std::uint32_t Count) const;
  void crash(const std::string &Id);
  /** @brief Starts a backend server again under its id, without its runs. */
  void restart(const std::string &Id);
  /** @return True wall-clock time, ms since the Unix epoch. */
  [[nodiscard]] wall_ms wallNow() const;

  std::unique_ptr<job::controller> Leader;
  std::uint64_t Epoch{0};
  /** Processor time of the leader for each event; 0 for a leader that is never
   * busy. */
  duration EventCost{0};
  /** Longest delay of the leader's periodic work. */
  duration LongestLoopDelay{0};
  job::start_limits StartLimits;
  job::job_memory_limits JobMemory;

  /** @brief Calls a function as an event of the leader's loop. */
  void schedule(duration Delay, std::function<void()> Function);

private:
  void step(duration LoopDelay);
  void endRun(simulated_server &Server, const job::run_id &Run,
              job::run_outcome Outcome);
  void endDueRuns(simulated_server &Server);
  void beginRun(simulated_server &Server, const job::start_order &Order);
  job::order_result start(const job::start_order &Order);
  job::heartbeat_result heartbeat(const job::heartbeat_order &Order);
  job::order_result stop(const job::stop_order &Order);
  void connectStore();
  void connectServers();
  void connectVms();
  job::vm_result orderVm(const job::vm_order &Order);
  void connectTicketService();
  bool isTicketValid(const job::start_order &Order) const;
  std::uint32_t gaugeOf(const simulated_server &Server,
                        const job::run_id &Run) const;

  std::multimap<time_point, std::function<void()>> Events;
  std::map<std::string, std::uint64_t> Sequences;
  std::uint64_t StoreEpoch{0};
  std::set<job::task_id> RecordedDone;
  /** Expiry of each ticket. */
  std::map<std::string, time_point> Tickets;
  std::uint32_t NextVm{0};
};

/** @brief Makes a step of equal tasks. */
job::step_spec makeStep(std::uint32_t Count, std::int64_t Cpu,
                        std::uint32_t EstimateMs);
/** @brief Makes rules with one queue, `press`, and a pool of the same name. */
job::fleet_rules makeSinglePoolRules();

} // namespace galenalink::test

#endif
