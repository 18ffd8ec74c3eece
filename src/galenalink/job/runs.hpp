#ifndef GALENALINK_JOB_RUNS_HPP
#define GALENALINK_JOB_RUNS_HPP

#include "galenalink/job/leader.hpp"

namespace galenalink::job {

/** Time limit for the response to an order. Responses take a few ms; a lost
 * order delays its task by this limit. */
inline constexpr duration OrderTimeout = std::chrono::milliseconds{350};

/** @return The run's name in the log. */
[[nodiscard]] std::string toText(const run_id &Run);
/** @brief Requests the start of a task on a backend server; its resources are
 * reserved at once.
 * @param Number Run number, from `nextRunNumber`. */
void startRun(leader &Leader, server &Server, job_entry &Entry,
              const task_id &Task, std::uint64_t Number);
/** @return Number for the next run of a task, above those given by all earlier
 * leaders. */
[[nodiscard]] std::uint64_t nextRunNumber(const leader &Leader,
                                          const task &Task);
/** @brief Requests that a run stops; its resources are released once the
 * backend server reports the end. */
void stopRun(leader &Leader, server &Server, const run_id &Run);
void stopJobRuns(leader &Leader, const std::string &Job);
/** @brief Removes a run that does not exist on the backend server and can't
 * start there any more. Its task waits again unless it is done. */
void releaseRun(leader &Leader, server &Server, const run_id &Run);
/** @brief Releases all runs of a backend server that has terminated or whose
 * lease has expired.
 * @param Reason Reason for the log.
 * @param EndedAt When the runs had ended at the latest; now if not set. */
void markServerLost(leader &Leader, server &Server, std::string_view Reason,
                    std::optional<time_point> EndedAt = std::nullopt);
/** @brief Sends stop requests again that had no response. */
void resendStops(leader &Leader, server &Server);

} // namespace galenalink::job

#endif
