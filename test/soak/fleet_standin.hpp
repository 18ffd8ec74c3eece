#ifndef GALENALINK_TEST_SOAK_FLEET_STANDIN_HPP
#define GALENALINK_TEST_SOAK_FLEET_STANDIN_HPP

#include "soak/store_standin.hpp"
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

namespace galenalink::soak {

/** @brief A run on a stand-in executor. */
struct server_run {
  std::string Task;
  std::uint64_t Number{0};
  time_point EndsAt;
};

/** @brief What the executors saw, judged. */
struct run_checker {
  /** Broken rules, for a person. */
  std::vector<std::string> Violations;
  /** Jobs of which a task was started. */
  std::set<std::string> StartedJobs;
  /** Executors on which each task runs. */
  std::map<std::string, std::set<std::string>> Running;
  /** Tasks whose end was taken note of. */
  std::set<std::string> RecordedDone;
  std::uint64_t StartCount{0};

  void recordStart(const std::string &Task, const std::string &ServerId);
  void recordEnd(const std::string &Task, const std::string &ServerId);
};

/** @brief A VM with its executor; each life of it has an id of its own. */
struct soak_vm {
  std::string Name;
  std::string Pool;
  std::string State{"up"};
  std::string Id;
  std::int64_t BornMs{0};
  std::unique_ptr<http::server> Server;
  time_point StartedAt;
  /** Back after a move, a maintenance or a crash; `NoDeadline` while up. */
  time_point ResumeAt{NoDeadline};
  std::string NextPool;
  /** Calls have no answer until then. */
  time_point PartitionedUntil{NoDeadline};
  std::uint64_t FencingToken{0};
  std::int64_t LeaseEndMs{0};
  std::vector<server_run> Running;
  std::map<std::string, std::uint64_t> HighestClosedRun;
  struct ended_run {
    std::uint64_t Number{0};
    std::string Task;
    std::uint64_t Run{0};
    std::string How;
  };
  std::uint64_t EndCount{0};
  std::vector<ended_run> UnrecordedEnds;
  struct pending_heartbeat {
    http::exchange Exchange;
    time_point RespondBy;
  };
  std::vector<pending_heartbeat> PendingHeartbeats;

  [[nodiscard]] std::int64_t clockMs() const;
};

/**
 * @brief Stand-in of VMs, their executors and their list. A task's duration is
 * its job's `spec`, in ms.
 */
class fleet_standin {
public:
  fleet_standin(http::loop &Loop, store_standin &Store);

  void addVm(const std::string &Name, const std::string &Pool, bool Standby);
  [[nodiscard]] http::address listAddress() const;
  void crashVm(std::size_t Vm);
  void partitionVm(std::size_t Vm, duration Duration);
  [[nodiscard]] std::size_t size() const noexcept { return Vms.size(); }

  run_checker Checker;
  /** Most VMs that were in maintenance at once. */
  std::size_t MaxInMaintenance{0};

private:
  void startIncarnation(soak_vm &Vm);
  void endIncarnation(soak_vm &Vm);
  void handleRequest(soak_vm &Vm, http::exchange Exchange);
  void startRun(soak_vm &Vm, http::exchange &Exchange,
                const nlohmann::json &Body);
  void stopRun(soak_vm &Vm, http::exchange &Exchange,
               const nlohmann::json &Body);
  void heartbeat(soak_vm &Vm, http::exchange Exchange,
                 const nlohmann::json &Body);
  void replyHeartbeat(soak_vm &Vm, http::exchange &Exchange);
  void endRun(soak_vm &Vm, std::size_t Index, const std::string &How);
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
  std::set<std::pair<std::string, std::uint64_t>> MaintenanceOrders;
  std::vector<http::exchange> UnansweredExchanges;
  std::uint64_t NextId{0};
};

} // namespace galenalink::soak

#endif
