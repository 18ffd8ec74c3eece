#ifndef GALENALINK_TEST_SOAK_FLEET_STANDIN_HPP
#define GALENALINK_TEST_SOAK_FLEET_STANDIN_HPP

#include "soak/store_standin.hpp"
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

namespace galenalink::soak {

/** @brief A run on a stand-in executor. */
struct executor_run {
  std::string Task;
  std::uint64_t Number{0};
  time_point EndsAt;
};

/** @brief What the executors saw, judged. */
struct run_judge {
  /** Broken rules, for a person. */
  std::vector<std::string> Broken;
  /** Jobs of which a task was started. */
  std::set<std::string> StartedJobs;
  /** Executors on which each task runs. */
  std::map<std::string, std::set<std::string>> Running;
  /** Tasks whose end was taken note of. */
  std::set<std::string> Noted;
  std::uint64_t Starts{0};

  void began(const std::string &Task, const std::string &Executor);
  void ended(const std::string &Task, const std::string &Executor);
};

/** @brief A VM with its executor; each life of it has an id of its own. */
struct soak_vm {
  std::string Name;
  std::string Pool;
  std::string State{"up"};
  std::string Id;
  std::int64_t StartedAtMs{0};
  std::unique_ptr<http::server> Server;
  time_point StartedAt;
  /** Back after a move, a maintenance or a crash; `NoDeadline` while up. */
  time_point BackAt{NoDeadline};
  std::string NextPool;
  /** Calls have no answer until then. */
  time_point CutUntil{NoDeadline};
  std::uint64_t Token{0};
  std::int64_t LeaseEndMs{0};
  std::vector<executor_run> Running;
  std::map<std::string, std::uint64_t> Closed;
  struct end {
    std::uint64_t Number{0};
    std::string Task;
    std::uint64_t Run{0};
    std::string How;
  };
  std::uint64_t Ends{0};
  std::vector<end> Listed;
  struct waiting_hold {
    http::exchange Exchange;
    time_point Until;
  };
  std::vector<waiting_hold> Holds;

  [[nodiscard]] std::int64_t clockMs() const;
};

/**
 * @brief Stand-in of VMs, their executors and their list. A task's duration is
 * its job's `spec`, in ms.
 */
class fleet_standin {
public:
  fleet_standin(http::loop &Loop, store_standin &Store);

  void add(const std::string &Name, const std::string &Pool, bool Standby);
  [[nodiscard]] http::address listAddress() const;
  void crash(std::size_t Vm);
  void cut(std::size_t Vm, duration Time);
  [[nodiscard]] std::size_t size() const noexcept { return Vms.size(); }

  run_judge Judge;
  /** Most VMs that were in maintenance at once. */
  std::size_t MostInMaintenance{0};

private:
  void startLife(soak_vm &Vm);
  void endLife(soak_vm &Vm);
  void handle(soak_vm &Vm, http::exchange Exchange);
  void start(soak_vm &Vm, http::exchange &Exchange, const nlohmann::json &Body);
  void stop(soak_vm &Vm, http::exchange &Exchange, const nlohmann::json &Body);
  void hold(soak_vm &Vm, http::exchange Exchange, const nlohmann::json &Body);
  void answerHold(soak_vm &Vm, http::exchange &Exchange);
  void endRun(soak_vm &Vm, std::size_t Index, const std::string &How);
  void handleList(http::exchange Exchange);
  void orderVm(http::exchange &Exchange);
  void step();
  void step(soak_vm &Vm, time_point Now);

  http::loop &Loop;
  store_standin &Store;
  http::server List;
  http::timer Timer;
  std::vector<std::unique_ptr<soak_vm>> Vms;
  std::set<std::string> StandbyPools;
  std::set<std::pair<std::string, std::uint64_t>> Maintained;
  std::vector<http::exchange> Unanswered;
  std::uint64_t NextId{0};
};

} // namespace galenalink::soak

#endif
