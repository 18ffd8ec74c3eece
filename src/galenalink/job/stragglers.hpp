#ifndef GALENALINK_JOB_STRAGGLERS_HPP
#define GALENALINK_JOB_STRAGGLERS_HPP

#include "galenalink/job/leader.hpp"

namespace galenalink::job {

/** @brief Stops stalled runs, and starts a speculative copy of each task that
 * takes far longer than expected, if its step allows copies. */
void handleStragglers(leader &Leader);

} // namespace galenalink::job

#endif
