#ifndef GALENALINK_JOB_DISPATCH_HPP
#define GALENALINK_JOB_DISPATCH_HPP

#include "galenalink/job/leader.hpp"

namespace galenalink::job {

/** @brief Starts the tasks that can run now, in order of urgency. */
void dispatch(leader &Leader);

/** @brief Backend servers of a pool that accept new work. */
[[nodiscard]] std::vector<server *> availableServers(leader &Leader,
                                                     std::string_view Pool);

} // namespace galenalink::job

#endif
