#ifndef GALENALINK_JOB_NODE_CALLER_REQUEST_HPP
#define GALENALINK_JOB_NODE_CALLER_REQUEST_HPP

#include "galenalink/core/time.hpp"
#include "galenalink/job/access.hpp"
#include "galenalink/job/leader.hpp"

namespace galenalink::job_node {

enum class request_kind : std::uint8_t { Submit, Query, Cancel, Pending };

inline constexpr enum_names<request_kind, 4> RequestKindNames{{
    {request_kind::Submit, "submit"},
    {request_kind::Query, "query"},
    {request_kind::Cancel, "cancel"},
    {request_kind::Pending, "pending"},
}};

/** @brief A request of a caller, with the queue that its path maps to. */
struct caller_request {
  request_kind Kind{request_kind::Query};
  std::string Queue;
  /** Version of the rules by which the path was mapped; 0 for unknown. */
  std::uint64_t RulesVersion{0};
  /** Key that the caller sent; empty for none. */
  std::string Key;
  /** What the entry node decided by its rules. */
  job::access_decision Access{job::access_verdict::Granted, {}};
  /** Id of the job; empty for `Pending`. */
  std::string Job;
  /** Set only for `Submit`. */
  job::job_spec Spec;
  /** The submission is sent to the leader without `Spec`. */
  bool BodyWithheld{false};
  /** The caller stops waiting for a reply at this time. */
  time_point Deadline;
};

/**
 * @brief Decides on the key of a request as the leader: by its own rules, or by
 * what the entry node decided if that node had read newer ones.
 * @param Keys Index of the same rules.
 */
[[nodiscard]] inline job::access_decision
decideAccess(const job::fleet_rules &Rules, const job::key_index &Keys,
             const caller_request &Request) {
  if (Rules.Version < Request.RulesVersion)
    return Request.Access;
  if (const job::queue_rule *Queue = Rules.queue(Request.Queue))
    return job::checkAccess(Rules, Keys, *Queue, Request.Key);
  // The queue was removed since. Its jobs remain accessible by a valid key.
  const bool NeedsKey = Rules.Customers && !Request.Access.Customer.empty();
  if (!NeedsKey)
    return Request.Access;
  return job::checkAccess(Rules, Keys, job::queue_rule{}, Request.Key);
}

} // namespace galenalink::job_node

#endif
