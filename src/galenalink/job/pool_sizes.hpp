#ifndef GALENALINK_JOB_POOL_SIZES_HPP
#define GALENALINK_JOB_POOL_SIZES_HPP

#include "galenalink/job/leader.hpp"

namespace galenalink::job {

/** @brief Moves VMs between pools as demand rises and falls. */
void resizePools(leader &Leader);

} // namespace galenalink::job

#endif
