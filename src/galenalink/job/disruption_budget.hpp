#ifndef GALENALINK_JOB_DISRUPTION_BUDGET_HPP
#define GALENALINK_JOB_DISRUPTION_BUDGET_HPP

#include "galenalink/job/leader.hpp"

namespace galenalink::job {

/** @brief Whether all runs on the backend server may be ended now without
 * exceeding the disruption budget of any long-running step. */
[[nodiscard]] bool budgetsAllowDisruption(const leader &Leader,
                                          const server &Server);
/** @brief Stops long-running tasks on a cordoned backend server, as far as the
 * disruption budgets of their steps allow, so that they restart elsewhere. */
void evacuate(leader &Leader, server &Server);

} // namespace galenalink::job

#endif
