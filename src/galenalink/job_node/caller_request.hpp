#ifndef GALENALINK_JOB_NODE_CALLER_REQUEST_HPP
#define GALENALINK_JOB_NODE_CALLER_REQUEST_HPP

#include "galenalink/core/time.hpp"
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
  /** Id of the job; empty for `Pending`. */
  std::string Job;
  /** Set only for `Submit`. */
  job::job_spec Spec;
  /** The submission is sent to the leader without `Spec`. */
  bool BodyWithheld{false};
  /** The caller stops waiting for a reply at this time. */
  time_point Deadline;
};

} // namespace galenalink::job_node

#endif
