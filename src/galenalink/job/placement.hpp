#ifndef GALENALINK_JOB_PLACEMENT_HPP
#define GALENALINK_JOB_PLACEMENT_HPP

#include "galenalink/job/server.hpp"
#include <optional>
#include <vector>

namespace galenalink::job {

/** @brief Placement requirements of a task. */
struct placement_request {
  const step_spec *Step{nullptr};
  task_id Task;
  /** Backend servers that must not be chosen, such as the one that runs another
   * copy of the task. */
  std::vector<const server *> Excluded;
  /** Whether a backend server outside the rack of the input data may be
   * chosen. */
  bool AllowRemote{true};
  /** Rack that all tasks of the step must share; empty for none. */
  std::string_view RequiredRack;
};

/** @brief Whether a backend server may be given any new work. */
[[nodiscard]] bool acceptsWork(const server &Server, time_point Now);

/** @brief Whether the backend server satisfies the requirements and has the
 * free resources. */
[[nodiscard]] bool canRun(const server &Server,
                          const placement_request &Request);

/**
 * @brief Counts the further tasks of a long-running step that the backend
 * server can take once the finite runs there have ended.
 * @param Max Counting ends at this number.
 */
[[nodiscard]] std::uint32_t countLongRunningPlaces(const server &Server,
                                                   const step_spec &Step,
                                                   const task_id &Task,
                                                   std::uint32_t Max);

/**
 * @brief Chooses the backend server for a task. Finite tasks are packed where
 * the least CPU is free, which keeps capacity for large tasks. Tasks of a
 * long-running step are spread, but placed beside long-running tasks of other
 * jobs. Slow backend servers are chosen last.
 * @param Servers Backend servers that accept work.
 * @return Null if the task fits nowhere.
 */
[[nodiscard]] server *chooseServer(const std::vector<server *> &Servers,
                                   const placement_request &Request);

} // namespace galenalink::job

#endif
