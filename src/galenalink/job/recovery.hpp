#ifndef GALENALINK_JOB_RECOVERY_HPP
#define GALENALINK_JOB_RECOVERY_HPP

#include "galenalink/job/leader.hpp"

namespace galenalink::job {

/** @brief Rebuilds jobs, progress and backend servers in use from the store.
 * Records that can't be read are logged and left in the store. */
void recover(leader &Leader, const latest_result &Records);

} // namespace galenalink::job

#endif
