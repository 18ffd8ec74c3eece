#ifndef GALENALINK_JOB_PLACEMENT_HPP
#define GALENALINK_JOB_PLACEMENT_HPP

#include "galenalink/job/server.hpp"
#include <optional>
#include <vector>

namespace galenalink::job {

/** @brief What a task needs of a backend server. */
struct placement_request {
  const step_spec *Step{nullptr};
  task_id Task;
  /** Backend servers that must not be chosen, such as that of another copy. */
  std::vector<const server *> Excluded;
  /** Whether a backend server away from the task's data may be chosen. */
  bool AllowRemote{true};
  /** Rack that the whole step is bound to; empty for none. */
  std::string_view RequiredRack;
};

/** @brief Whether new work may be given to a backend server at all. */
[[nodiscard]] bool acceptsWork(const server &Server, time_point Now);

/** @brief Whether the task may and can run there now. */
[[nodiscard]] bool canRun(const server &Server,
                          const placement_request &Request);

/**
 * @brief Chooses the backend server for a task. Short tasks go where the least
 * room is left, so that room for large ones remains; tasks of a step that
 * lasts stand apart, but beside those of other jobs. Slow backend servers come
 * last.
 * @param Servers Those that accept work.
 * @return Nothing if the task fits nowhere.
 */
[[nodiscard]] server *chooseServer(const std::vector<server *> &Servers,
                                   const placement_request &Request);

} // namespace galenalink::job

#endif
