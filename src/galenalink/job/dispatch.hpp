#ifndef GALENALINK_JOB_DISPATCH_HPP
#define GALENALINK_JOB_DISPATCH_HPP

#include "galenalink/job/leader.hpp"

namespace galenalink::job {

/** @brief Starts the tasks that can run now, most urgent first. */
void dispatch(leader &Leader);

/** @brief Stops runs that stand still, and starts copies of tasks that take
 * far longer than expected where copies are allowed. */
void handleStragglers(leader &Leader);

/** @brief Backend servers of a pool that accept work. */
[[nodiscard]] std::vector<server *> availableServers(leader &Leader,
                                                     std::string_view Pool);

} // namespace galenalink::job

#endif
