#ifndef GALENALINK_JOB_CUSTOMERS_HPP
#define GALENALINK_JOB_CUSTOMERS_HPP

#include "galenalink/job/leader.hpp"

namespace galenalink::job {

/** @brief Adopts the customers' quotas of the current rules. */
void applyCustomerRules(leader &Leader);
/** @return Share of a full pool relative to the other customers; 1 for a
 * customer without a weight and for jobs without a customer. */
[[nodiscard]] double shareWeight(const leader &Leader,
                                 std::string_view Customer);
/** @brief Whether a new or repeated job is within the rate of its customer. */
[[nodiscard]] bool claimRate(leader &Leader, const submission &Submission);
/** @return Time until another job of the customer is within its rate, ms. */
[[nodiscard]] std::uint32_t rateRetryMs(const leader &Leader,
                                        const std::string &Customer);
/** @brief Restores the claims on the rates from the jobs that earlier leaders
 * accepted, so that an election grants no second burst. */
void restoreClaims(leader &Leader);
/** @brief Counts the tasks of recovered jobs against the quotas that may be
 * running on backend servers which have not reported to this leader. */
void countUnknownRuns(leader &Leader);

} // namespace galenalink::job

#endif
