#ifndef GALENALINK_JOB_POOL_SIZES_HPP
#define GALENALINK_JOB_POOL_SIZES_HPP

#include "galenalink/job/leader.hpp"

namespace galenalink::job {

/** @brief Moves VMs between pools according to current and forecast demand. */
void resizePools(leader &Leader);

} // namespace galenalink::job

#endif
