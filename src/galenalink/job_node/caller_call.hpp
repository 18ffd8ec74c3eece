#ifndef GALENALINK_JOB_NODE_CALLER_CALL_HPP
#define GALENALINK_JOB_NODE_CALLER_CALL_HPP

#include "galenalink/core/time.hpp"
#include "galenalink/job/leader.hpp"

namespace galenalink::job_node {

enum class call_kind : std::uint8_t { Submit, Query, Cancel, Pending };

inline constexpr enum_names<call_kind, 4> CallKindNames{{
    {call_kind::Submit, "submit"},
    {call_kind::Query, "query"},
    {call_kind::Cancel, "cancel"},
    {call_kind::Pending, "pending"},
}};

/** @brief A caller's request, after its queue was found. */
struct caller_call {
  call_kind Kind{call_kind::Query};
  std::string Queue;
  /** Empty for `Pending`. */
  std::string Job;
  /** Only for `Submit`. */
  job::job_spec Spec;
  /** The caller waits for the answer until then. */
  time_point Deadline;
};

} // namespace galenalink::job_node

#endif
