#ifndef GALENALINK_JOB_POOL_LOAD_HPP
#define GALENALINK_JOB_POOL_LOAD_HPP

#include "galenalink/job/admission.hpp"
#include "galenalink/job/leader.hpp"

namespace galenalink::job {

/** @return Work of a number of a step's tasks, thousandths of a core times ms;
 * 0 for long-running and best-effort tasks. */
[[nodiscard]] double estimateStepWork(const leader &Leader,
                                      const std::string &Queue,
                                      const step_spec &Step, std::size_t Tasks);
/** @return Remaining work of a job, thousandths of a core times ms. */
[[nodiscard]] double remainingWork(const leader &Leader, const job &Job);

/** @brief Available capacity of a pool, and accepted work that goes before new
 * jobs of a customer: that of other customers above their share does not. */
[[nodiscard]] pool_load computePoolLoad(const leader &Leader,
                                        std::string_view Pool,
                                        std::string_view Customer = {});
/** @brief Adds work of a customer's job that is to meet its objective. */
void addInTimeWork(const leader &Leader, const std::string &Customer,
                   double Work, pool_load &Load);
/** @brief Finds the customers that hold more than their share of a full pool.
 */
void updateShares(leader &Leader);

} // namespace galenalink::job

#endif
