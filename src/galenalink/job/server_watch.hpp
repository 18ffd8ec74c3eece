#ifndef GALENALINK_JOB_SERVER_WATCH_HPP
#define GALENALINK_JOB_SERVER_WATCH_HPP

#include "galenalink/job/leader.hpp"

namespace galenalink::job {

/** @brief Takes over the complete list of registrations. */
void updateRegistrations(leader &Leader,
                         const std::vector<registration> &Registrations);
/** @brief Takes over the complete list of VMs: a backend server whose VM is
 * down, or serves another incarnation, has ended. */
void updateVms(leader &Leader, const std::vector<vm> &Vms);
/** @brief Sends the holds that are due, and gives up backend servers whose
 * leases have passed without an answer. */
void watchServers(leader &Leader);
/** @brief Adds a backend server that an earlier leader used. */
void recoverServer(leader &Leader, const std::string &Id,
                   std::string_view Record);
/** @brief Whether runs of an earlier leader may exist in the pool that no
 * backend server has listed yet. */
[[nodiscard]] bool runsUnknown(const leader &Leader, std::string_view Pool);

} // namespace galenalink::job

#endif
