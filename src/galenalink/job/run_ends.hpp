#ifndef GALENALINK_JOB_RUN_ENDS_HPP
#define GALENALINK_JOB_RUN_ENDS_HPP

#include "galenalink/job/leader.hpp"

namespace galenalink::job {

/** @brief Applies a run end that a backend server reports. */
void applyRunEnd(leader &Leader, server &Server, const listed_end &End);

} // namespace galenalink::job

#endif
