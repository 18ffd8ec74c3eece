#ifndef GALENALINK_JOB_VM_ORDERS_HPP
#define GALENALINK_JOB_VM_ORDERS_HPP

#include "galenalink/job/leader.hpp"

namespace galenalink::job {

/** @brief Whether this leader may order moves and maintenance: it has a list of
 * the VMs, and no successor can be active yet. */
[[nodiscard]] bool mayOrderVms(const leader &Leader);
/** @brief Whether an earlier leader's order for the VM is so recent that this
 * leader must wait before it may send one. */
[[nodiscard]] bool orderGapPending(const leader &Leader, const std::string &Vm);
/** @brief Orders a move of the VM, or maintenance if `Pool` is empty. Either
 * ends all runs on the VM. */
void orderVm(leader &Leader, const std::string &Vm, const std::string &Pool,
             std::uint64_t Wave);
/** @brief Writes the wave's progress to the store, for a successor. */
void recordWave(leader &Leader, std::uint64_t Number);
/** @brief Takes over a list of VMs and removes the pending orders that it shows
 * to be complete.
 * @param RequestedAt When the list was requested. */
void updateVmOrders(leader &Leader, const std::vector<vm> &Vms,
                    time_point RequestedAt);
/** @brief Resends orders without a response; orders are idempotent. */
void retryVmOrders(leader &Leader);
/** @brief Finds the backend server of a VM through the list of VMs, even if its
 * registration is missing.
 * @return Null if the VM has none or it is not known yet. */
[[nodiscard]] server *serverOnVm(leader &Leader, std::string_view Vm);
/** @return Number of runs on the backend server that are not long-running. */
[[nodiscard]] std::size_t countFiniteRuns(const server &Server);

} // namespace galenalink::job

#endif
