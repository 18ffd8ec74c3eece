#ifndef GALENALINK_JOB_RUN_LOCATIONS_HPP
#define GALENALINK_JOB_RUN_LOCATIONS_HPP

#include "galenalink/job/types.hpp"
#include <algorithm>
#include <map>
#include <span>
#include <vector>

namespace galenalink::job {

struct server;

/**
 * @brief Index from tasks to the backend servers that hold their runs, so that
 * the runs of a task or a job are found without a scan of all backend servers.
 * Kept by `server::addRun` and `server::eraseRun`.
 */
class run_locations {
public:
  void add(const task_id &Task, server &Server) {
    Servers[Task].push_back(&Server);
  }

  void remove(const task_id &Task, server &Server) noexcept {
    const auto Found = Servers.find(Task);
    if (Found == Servers.end())
      return;
    auto &Holders = Found->second;
    const auto Holder = std::ranges::find(Holders, &Server);
    if (Holder != Holders.end())
      Holders.erase(Holder);
    if (Holders.empty())
      Servers.erase(Found);
  }

  /** @brief Backend servers with runs of the task, one entry for each run. */
  [[nodiscard]] std::span<server *const>
  serversOf(const task_id &Task) const noexcept {
    const auto Found = Servers.find(Task);
    return Found == Servers.end() ? std::span<server *const>{} : Found->second;
  }

  /** @brief Backend servers with runs of the job, one entry for each run. */
  [[nodiscard]] std::vector<server *>
  serversOfJob(const std::string &Job) const {
    std::vector<server *> Holders;
    for (auto Each = Servers.lower_bound(task_id{Job, 0, 0, 0});
         Each != Servers.end() && Each->first.Job == Job; ++Each)
      Holders.insert(Holders.end(), Each->second.begin(), Each->second.end());
    return Holders;
  }

private:
  std::map<task_id, std::vector<server *>> Servers;
};

} // namespace galenalink::job

#endif
