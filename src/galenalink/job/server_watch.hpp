#ifndef GALENALINK_JOB_SERVER_WATCH_HPP
#define GALENALINK_JOB_SERVER_WATCH_HPP

#include "galenalink/job/leader.hpp"

namespace galenalink::job {

/** @brief Applies the complete list of registrations. */
void updateRegistrations(leader &Leader,
                         const std::vector<registration> &Registrations);
/** @brief Applies the complete list of VMs: a backend server whose VM is not
 * up, or runs another incarnation, has terminated. */
void updateVms(leader &Leader, const vms_result &List);
/** @brief Sends the heartbeats that are due, and marks backend servers lost
 * whose lease has expired without a response. */
void watchServers(leader &Leader);
/** @brief Adds a backend server that an earlier leader used.
 * @param Record Stored record of its registration. */
void recoverServer(leader &Leader, const std::string &Id,
                   std::string_view Record);
/** @brief Whether a backend server of the pool may have runs of an earlier
 * leader that it has not reported yet. */
[[nodiscard]] bool runsUnknown(const leader &Leader, std::string_view Pool);

} // namespace galenalink::job

#endif
