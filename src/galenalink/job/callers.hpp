#ifndef GALENALINK_JOB_CALLERS_HPP
#define GALENALINK_JOB_CALLERS_HPP

#include "galenalink/job/admission.hpp"
#include "galenalink/job/leader.hpp"

namespace galenalink::job {

/** @brief Accepts a job, or refuses it at once. A repeat of an accepted job is
 * answered as the first one was. */
void submitJob(leader &Leader, const std::string &Queue, const std::string &Id,
               job_spec Spec, reply_function Reply);
[[nodiscard]] caller_reply queryJob(const leader &Leader,
                                    const std::string &Id);
void cancelJob(leader &Leader, const std::string &Id, reply_function Reply);
/** @brief Counts the accepted jobs of a queue that have not started. */
[[nodiscard]] caller_reply countPendingJobs(const leader &Leader,
                                            const std::string &Queue);

/** @brief Admits deferred jobs to run in time where room has come up. */
void promoteDeferredJobs(leader &Leader);

/** @brief Room and accepted work of a pool. */
[[nodiscard]] pool_load computePoolLoad(const leader &Leader,
                                        std::string_view Pool);
/** @brief Work left of a job, thousandths of a core times ms. */
[[nodiscard]] double remainingWork(const leader &Leader, const job &Job);

} // namespace galenalink::job

#endif
