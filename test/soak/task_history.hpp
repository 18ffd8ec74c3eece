#ifndef GALENALINK_TEST_SOAK_TASK_HISTORY_HPP
#define GALENALINK_TEST_SOAK_TASK_HISTORY_HPP

#include "galenalink/core/time.hpp"
#include <map>
#include <string>
#include <vector>

namespace galenalink::soak {

/** @brief A run of a task, as its backend server saw it. */
struct run_record {
  std::string Server;
  std::uint64_t Number{0};
  time_point StartedAt;
  /** `time_point::max()` while it runs. */
  time_point EndedAt{time_point::max()};
  /** As listed to the leader; empty if the backend server ended before it. */
  std::string Outcome;
  /** The leader has acknowledged the end, before the lease of the backend
   * server expired. */
  bool Acknowledged{false};
};

/** @brief All runs of all tasks, with the checks of what may be started. */
class task_history {
public:
  using index = std::size_t;

  index recordStart(const std::string &Task, const std::string &Server,
                    std::uint64_t Number);
  void recordEnd(index Run, const std::string &Outcome);
  void recordAcknowledged(index Run) { Runs[Run].Acknowledged = true; }

  [[nodiscard]] std::size_t starts() const noexcept { return Runs.size(); }
  /** @return Number of tasks of the job with a run that ended as done. */
  [[nodiscard]] std::size_t doneTasks(const std::string &Job) const;
  /** @return Failed runs of that task of the job which has most of them. */
  [[nodiscard]] std::size_t mostFailures(const std::string &Job) const;
  [[nodiscard]] std::vector<run_record> runsOf(const std::string &Job) const;
  /** @brief Describes the runs of each task of a job. */
  [[nodiscard]] std::string describe(const std::string &Job) const;

  /**
   * @return Descriptions of starts while another run of the task was running,
   * after it was done, or after it had failed `MaxAttempts` times. An end
   * counts if the leader acknowledged it at any time: a leader that starts a
   * task must have waited for it.
   */
  [[nodiscard]] std::vector<std::string>
  violations(std::size_t MaxAttempts) const;

private:
  using task_runs = std::map<std::string, std::vector<index>>;
  [[nodiscard]] std::size_t failures(const std::vector<index> &TaskRuns) const;
  /** @return Tasks of the job, first and one past the last. */
  [[nodiscard]] std::pair<task_runs::const_iterator, task_runs::const_iterator>
  tasksOf(const std::string &Job) const;

  std::vector<run_record> Runs;
  task_runs ByTask;
};

} // namespace galenalink::soak

#endif
