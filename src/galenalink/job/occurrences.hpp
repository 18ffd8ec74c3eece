#ifndef GALENALINK_JOB_OCCURRENCES_HPP
#define GALENALINK_JOB_OCCURRENCES_HPP

#include "galenalink/job/leader.hpp"

namespace galenalink::job {

/** @brief Computes the deadlines of all open occurrences from the job's rule.
 */
void setObjectives(leader &Leader, job_entry &Entry);
/** @brief Opens all due occurrences and sets their deadlines. */
void openDueOccurrences(leader &Leader, job_entry &Entry);
/** @brief Opens the occurrences up to one of which a backend server reports a
 * run: an earlier leader opened it without storing that, by a clock that may be
 * ahead of this node's. Its other tasks wait until it is due. The limits of new
 * occurrences do not apply, because an end that is acknowledged without effect
 * would let its task run again. An occurrence that no leader can have opened is
 * left alone. */
void openReportedOccurrence(leader &Leader, job_entry &Entry,
                            std::uint32_t Number);

} // namespace galenalink::job

#endif
