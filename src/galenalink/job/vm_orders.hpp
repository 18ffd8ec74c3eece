#ifndef GALENALINK_JOB_VM_ORDERS_HPP
#define GALENALINK_JOB_VM_ORDERS_HPP

#include "galenalink/job/leader.hpp"

namespace galenalink::job {

/** @brief Whether this leader may order VMs at all: it has a list of them, and
 * no successor can have begun. */
[[nodiscard]] bool mayOrderVms(const leader &Leader);
/** @brief Whether an earlier leader's order for the VM is too recent for one by
 * this leader. */
[[nodiscard]] bool orderGapPending(const leader &Leader, const std::string &Vm);
/** @brief Orders a move, or maintenance if no pool is given. What runs on the
 * VM ends with it. */
void orderVm(leader &Leader, const std::string &Vm, const std::string &Pool,
             std::uint64_t Wave);
/** @brief Has the wave's progress written for a successor. */
void recordWave(leader &Leader, std::uint64_t Number);
/** @brief Takes over a list of VMs and ends the motions that it shows done.
 * @param AskedAt When the list was asked for. */
void updateVmOrders(leader &Leader, const std::vector<vm> &Vms,
                    time_point AskedAt);
/** @brief Sends orders again that had no answer; they take effect once. */
void retryVmOrders(leader &Leader);
/** @brief Backend server of a VM by the list of VMs, also one whose
 * registration is missing; null if it has none or it is not known yet. */
[[nodiscard]] server *serverOnVm(leader &Leader, std::string_view Vm);
/**
 * @brief Whether everything on the backend server may be ended now: no step
 * that lasts would miss more of its tasks than its budget allows.
 */
[[nodiscard]] bool budgetsAllowDisruption(const leader &Leader,
                                          const server &Server);
/** @brief Stops tasks that last on a backend server that takes no new work, as
 * far as the budgets of their steps allow, so that they start elsewhere. */
void evacuate(leader &Leader, server &Server);
/** @brief Runs on the backend server that end by themselves. */
[[nodiscard]] std::size_t countFiniteRuns(const server &Server);

} // namespace galenalink::job

#endif
