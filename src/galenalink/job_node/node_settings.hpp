#ifndef GALENALINK_JOB_NODE_NODE_SETTINGS_HPP
#define GALENALINK_JOB_NODE_NODE_SETTINGS_HPP

#include "galenalink/job/election.hpp"
#include "galenalink/job/leader.hpp"
#include "galenalink/job_node/settings.hpp"

namespace galenalink::job_node {

// What the parts of a node get from its settings: from the share of a core, the
// link and the memory that it may use.

[[nodiscard]] job::election_settings electionSettings(const settings &Settings);
[[nodiscard]] job::leader_settings leaderSettings(const settings &Settings);
/** @return Shortest interval at which the list of VMs may be read, so that it
 * leaves the link free for other calls.
 * @param Vms Length of the list. */
[[nodiscard]] duration minVmListInterval(const settings &Settings,
                                         std::size_t Vms);

} // namespace galenalink::job_node

#endif
