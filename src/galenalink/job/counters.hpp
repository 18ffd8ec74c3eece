#ifndef GALENALINK_JOB_COUNTERS_HPP
#define GALENALINK_JOB_COUNTERS_HPP

#include "galenalink/job/types.hpp"
#include <cstdint>
#include <map>
#include <string>

namespace galenalink::job {

/** @brief Decisions on the jobs of one customer. */
struct customer_counts {
  std::uint64_t Admitted{0};
  /** Jobs refused because the pool was full. */
  std::uint64_t RefusedFull{0};
  /** Jobs refused because they were beyond the customer's rate. */
  std::uint64_t RefusedRate{0};
};

/** @brief Counters of a node since its start, for metrics. */
struct counters {
  std::uint64_t AdmittedInTime{0};
  std::uint64_t AdmittedDeferred{0};
  std::uint64_t Refused{0};
  /** Jobs refused because the leader was overloaded. */
  std::uint64_t RefusedOverloaded{0};
  /** Jobs refused because the leader's jobs take too much memory. */
  std::uint64_t RefusedForMemory{0};
  std::uint64_t Starts{0};
  std::uint64_t StartsRefused{0};
  std::uint64_t StartsUnknown{0};
  /** Ended runs by outcome. */
  std::map<run_outcome, std::uint64_t> Ends;
  /** Ends done or failed that changed no task. */
  std::map<ignored_end, std::uint64_t> IgnoredEnds;
  /** Jobs that failed because a task reached its attempt limit. */
  std::uint64_t JobsFailed{0};
  /** Failed runs of jobs whose attempt limit was not known. */
  std::uint64_t FailuresWithoutRule{0};
  std::uint64_t ServersLost{0};
  std::uint64_t Moves{0};
  std::uint64_t Maintenances{0};
  /** By name of the customer. */
  std::map<std::string, customer_counts> Customers;
};

} // namespace galenalink::job

#endif
