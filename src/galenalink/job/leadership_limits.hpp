#ifndef GALENALINK_JOB_LEADERSHIP_LIMITS_HPP
#define GALENALINK_JOB_LEADERSHIP_LIMITS_HPP

#include "galenalink/core/time.hpp"

namespace galenalink::job {

/**
 * @brief Time limits of a leader that the store has stopped confirming. They
 * run from the send of its latest successful append to the leader log, which
 * is no later than the time at which any other node reads that record.
 */

/** For this long no successor can accept jobs, order VMs, renew leases or start
 * tasks: the election timeouts are longer. */
inline constexpr duration ConfirmationValidity =
    std::chrono::milliseconds{1000};
/** For this long the leader may renew leases and start tasks. Its successor
 * waits for runs on backend servers that it can't reach until leases granted
 * that late have expired; runs survive an outage of the store that is shorter
 * than this and a lease together. */
inline constexpr duration LeaseGrantValidity = std::chrono::milliseconds{2500};

} // namespace galenalink::job

#endif
