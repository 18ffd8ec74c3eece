#ifndef GALENALINK_JOB_DISRUPTION_BUDGET_HPP
#define GALENALINK_JOB_DISRUPTION_BUDGET_HPP

#include "galenalink/job/leader.hpp"

namespace galenalink::job {

/** @brief Whether all runs on the backend server may be ended now without
 * exceeding the disruption budget of any long-running step. */
[[nodiscard]] bool budgetsAllowDisruption(const leader &Leader,
                                          const server &Server);
/** @brief Whether the runs on the backend server can move, or be ended, within
 * the disruption budgets of their long-running steps, once starting tasks are
 * serving and VMs that are moved or maintained are back. */
[[nodiscard]] bool canVacate(const leader &Leader, const server &Server);
/** @brief Stops long-running tasks on a cordoned backend server, as far as the
 * disruption budgets of their steps allow and other backend servers can take
 * them, so that they restart there. */
void evacuate(leader &Leader, server &Server);

} // namespace galenalink::job

#endif
