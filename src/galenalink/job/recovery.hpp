#ifndef GALENALINK_JOB_RECOVERY_HPP
#define GALENALINK_JOB_RECOVERY_HPP

#include "galenalink/job/leader.hpp"

namespace galenalink::job {

/** @brief Restores the leader's state from the store: jobs, progress, backend
 * servers in use, waves, pool sizes, estimates and recent VM orders. Invalid
 * records are logged and left in the store. */
void recover(leader &Leader, const latest_result &Records);

} // namespace galenalink::job

#endif
