#ifndef GALENALINK_TEST_SOAK_FLEET_STANDIN_HPP
#define GALENALINK_TEST_SOAK_FLEET_STANDIN_HPP

#include "soak/store_standin.hpp"
#include "soak/task_history.hpp"
#include "soak/tcp_proxy.hpp"
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

namespace galenalink::soak {

/** @brief A run on a stand-in backend server. */
struct server_run {
  std::string Task;
  std::uint64_t Number{0};
  time_point EndsAt;
  /** How it ends at that time. */
  std::string Outcome;
  task_history::index Record{0};
  /** Reported progress, percent. */
  std::uint32_t Percent{50};
};

/** @brief A VM with its backend server; each incarnation has its own id. */
struct soak_vm {
  std::string Name;
  std::string Pool;
  std::string State{"up"};
  std::string Id;
  std::int64_t StartedAtMs{0};
  std::uint64_t RegistrationSeq{0};
  std::unique_ptr<http::server> Server;
  /** Link from the nodes to the backend server. */
  std::unique_ptr<tcp_proxy> Link;
  time_point ClockStart;
  /** Speed of its clock, in percent; the platform allows 2% too slow. */
  std::int64_t ClockPercent{100};
  /** When a move, maintenance or crash ends; `NoDeadline` while up. */
  time_point ResumeAt{NoDeadline};
  /** When it starts again under its id, and when it registers after that;
   * `NoDeadline` for neither. */
  time_point RestartAt{NoDeadline};
  time_point RegisterAt{NoDeadline};
  duration RegistrationDelay{0};
  std::string NextPool;
  /** Requests get no response until this time. */
  time_point PartitionedUntil{NoDeadline};
  /** Requests whose fencing token satisfies it get no response; may be empty.
   */
  std::function<bool(std::uint64_t FencingToken)> IsCutFrom;
  /** Highest token received; requests with a lower one are refused. */
  std::uint64_t FencingToken{0};
  /** When a request with that token or a higher one last arrived. */
  time_point LastRequestAt{NoDeadline};
  std::int64_t LeaseEndMs{0};
  std::vector<server_run> Running;
  /** Per task, the highest run number that has ended or been stopped; runs up
   * to it are refused. */
  std::map<std::string, std::uint64_t> HighestClosedRun;
  struct ended_run {
    std::uint64_t Number{0};
    std::string Task;
    std::uint64_t Run{0};
    std::string Outcome;
    task_history::index Record{0};
    /** The lease expired before the end was acknowledged, so that the
     * acknowledgement does not count. */
    bool LeaseExpired{false};
  };
  std::uint64_t EndCount{0};
  /** Ended runs that the leader has not acknowledged as recorded. */
  std::vector<ended_run> UnrecordedEnds;
  struct pending_heartbeat {
    http::exchange Exchange;
    std::uint64_t FencingToken{0};
    time_point RespondBy;
  };
  std::vector<pending_heartbeat> PendingHeartbeats;

  [[nodiscard]] std::int64_t clockMs() const;
  /** @return Whether the leader with the fencing token gets no response. */
  [[nodiscard]] bool unreachableFor(std::uint64_t Token) const;
};

/**
 * @brief Stand-in of the platform's VMs, their backend servers and the list of
 * VMs. The `spec` of a job is the duration of each of its tasks, in ms.
 */
class fleet_standin {
public:
  fleet_standin(http::loop &Loop, store_standin &Store, std::uint64_t Seed);

  void addVm(const std::string &Name, const std::string &Pool, bool Standby);
  [[nodiscard]] http::address listAddress() const;
  /** @brief Ends the incarnation; the VM is back up after a fixed time. */
  void crashVm(std::size_t Vm);
  /**
   * @brief Starts the backend server again under its id after the duration,
   * during which requests get no response and new connections wait. The clock
   * of the new incarnation is far behind that of the former one.
   * @param RegistrationDelay From the new start to its registration.
   */
  void restartUnderId(std::size_t Vm, duration Dark,
                      duration RegistrationDelay);
  /** @brief Leaves requests to the VM without a response for the duration. */
  void partitionVm(std::size_t Vm, duration Duration);
  /** @brief Writes the VM's registration once more, as a backend server does at
   * intervals. */
  void renewRegistration(std::size_t Vm);
  /**
   * @brief Cuts the VM off from some leaders only. Requests of the others are
   * handled as usual.
   * @param IsCut Decides by the fencing token of a request, which is the epoch
   * of the leader, whether it is lost together with its response. An empty
   * function ends the cut.
   */
  void cutFrom(std::size_t Vm,
               std::function<bool(std::uint64_t FencingToken)> IsCut);
  [[nodiscard]] std::size_t size() const noexcept { return Vms.size(); }
  [[nodiscard]] const soak_vm &vm(std::size_t Vm) const { return *Vms.at(Vm); }
  [[nodiscard]] tcp_proxy &link(std::size_t Vm) { return *Vms.at(Vm)->Link; }

  /** @brief Sets the share of runs that end as failed, in percent. */
  void setFailurePercent(std::uint64_t Percent) { FailurePercent = Percent; }

  task_history History;
  /** Start orders that have arrived, refused ones included, by task. */
  std::map<std::string, std::size_t> StartOrders;
  /** Highest number of VMs in maintenance at the same time. */
  std::size_t MaxInMaintenance{0};

private:
  void startIncarnation(soak_vm &Vm);
  void writeRegistration(soak_vm &Vm);
  /** @brief Ends the runs and drops what the incarnation knows. */
  void dropState(soak_vm &Vm);
  void endIncarnation(soak_vm &Vm);
  void finishRestart(soak_vm &Vm, time_point Now);
  void handleRequest(soak_vm &Vm, http::exchange Exchange);
  void startRun(soak_vm &Vm, http::exchange &Exchange,
                const nlohmann::json &Body);
  void stopRun(soak_vm &Vm, http::exchange &Exchange,
               const nlohmann::json &Body);
  void heartbeat(soak_vm &Vm, http::exchange Exchange,
                 const nlohmann::json &Body);
  void replyHeartbeat(soak_vm &Vm, http::exchange &Exchange);
  void endRun(soak_vm &Vm, std::size_t Index, const std::string &Outcome);
  void handleVmRequest(http::exchange Exchange);
  void orderVm(http::exchange &Exchange);
  void update();
  void update(soak_vm &Vm, time_point Now);

  http::loop &Loop;
  store_standin &Store;
  http::server VmServer;
  http::timer Timer;
  std::vector<std::unique_ptr<soak_vm>> Vms;
  std::set<std::string> StandbyPools;
  /** VM and wave of each accepted order; a repeat has no effect. */
  std::set<std::pair<std::string, std::uint64_t>> MaintenanceOrders;
  /** Kept, since destroying an exchange sends status 500. */
  std::vector<http::exchange> UnansweredExchanges;
  std::uint64_t NextId{0};
  std::mt19937_64 Random;
  std::uint64_t FailurePercent{0};
};

} // namespace galenalink::soak

#endif
