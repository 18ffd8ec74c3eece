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
[[nodiscard]] std::uint64_t nextRun(const leader &Leader, const task &Task);
/** @brief Orders a run to end; its room is free when its end is listed. */
void stopRun(leader &Leader, server &Server, const run_id &Run);
void stopRunsOf(leader &Leader, const std::string &Job);
/** @brief Takes a run out of the tables: it does not exist and never will.
 * Its task waits again if it is not done. */
void releaseRun(leader &Leader, server &Server, const run_id &Run);
/** @brief Releases all runs of a backend server that has surely ended. */
void loseServer(leader &Leader, server &Server, std::string_view Reason);
/** @brief Takes note of an end that a backend server lists. */
void applyEnd(leader &Leader, server &Server, const listed_end &End);
/** @brief Sends stop orders again that had no answer. */
void repeatStops(leader &Leader, server &Server);

} // namespace galenalink::job

#endif
