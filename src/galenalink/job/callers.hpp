#ifndef GALENALINK_JOB_CALLERS_HPP
#define GALENALINK_JOB_CALLERS_HPP

#include "galenalink/job/admission.hpp"
#include "galenalink/job/leader.hpp"

namespace galenalink::job {

/** @brief Accepts a job, or refuses it immediately. Idempotent: resubmitting an
 * accepted job returns its current state. */
void submitJob(leader &Leader, submission Submission, reply_function Reply);
/** @return A refusal if the leader is too far behind to accept a new job. It
 * must not be sent for a job that was accepted before. */
[[nodiscard]] std::optional<caller_reply> refuseIfOverloaded(leader &Leader);
[[nodiscard]] caller_reply queryJob(const leader &Leader,
                                    const job_request &Request);
void cancelJob(leader &Leader, const job_request &Request,
               reply_function Reply);
/** @brief Counts the accepted jobs of a queue without a started task.
 * @return A reply with the count in `Pending`. */
[[nodiscard]] caller_reply countPendingJobs(const leader &Leader,
                                            const std::string &Queue);

/** @brief Promotes deferred jobs that can now meet their objective because
 * capacity has become available. */
void promoteDeferredJobs(leader &Leader);

} // namespace galenalink::job

#endif
