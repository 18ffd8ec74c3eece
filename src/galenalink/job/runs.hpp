#ifndef GALENALINK_JOB_RUNS_HPP
#define GALENALINK_JOB_RUNS_HPP

#include "galenalink/job/leader.hpp"

namespace galenalink::job {

/** @brief Orders a backend server to start a task; the room is taken at once.
 */
void startRun(leader &Leader, server &Server, job_entry &Entry,
              const task_id &Task, std::uint64_t Number);
/** @brief Number for the next start of a task, above those of all earlier
 * leaders. */
[[nodiscard]] std::uint64_t nextRunNumber(const leader &Leader,
                                          const task &Task);
/** @brief Orders a run to end; its room is free when its end is listed. */
void stopRun(leader &Leader, server &Server, const run_id &Run);
void stopJobRuns(leader &Leader, const std::string &Job);
/** @brief Takes a run out of the tables: it does not exist and never will.
 * Its task waits again if it is not done. */
void releaseRun(leader &Leader, server &Server, const run_id &Run);
/** @brief Releases all runs of a backend server that has surely ended. */
void markServerLost(leader &Leader, server &Server, std::string_view Why);
/** @brief Takes note of an end that a backend server lists. */
void applyRunEnd(leader &Leader, server &Server, const listed_end &End);
/** @brief Sends stop orders again that had no answer. */
void resendStops(leader &Leader, server &Server);

} // namespace galenalink::job

#endif
