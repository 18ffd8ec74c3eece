#ifndef GALENALINK_JOB_HEARTBEATS_HPP
#define GALENALINK_JOB_HEARTBEATS_HPP

#include "galenalink/job/leader.hpp"

namespace galenalink::job {

/** @brief Sends the heartbeats that have been due for longest; the others wait
 * for the next pass. A new leader thus adopts the runs of its backend servers
 * in portions, with time for other events in between. */
void sendHeartbeats(leader &Leader, std::vector<server *> &Due);
/** @brief Keeps recovered tasks of the backend server's pool from starting
 * until it has listed its runs and all its ends, or until their leases have
 * expired.
 * @param LastGrant When the last of these leases was granted at the latest. */
void awaitUnknownRuns(leader &Leader, server &Server, time_point LastGrant);

} // namespace galenalink::job

#endif
