#ifndef GALENALINK_JOB_NODE_REPLY_DEADLINE_HPP
#define GALENALINK_JOB_NODE_REPLY_DEADLINE_HPP

#include "galenalink/http/loop.hpp"
#include "galenalink/job/leader.hpp"

namespace galenalink::job_node {

/** @return When an answer must leave at the latest for a caller that waits
 * until the deadline. */
[[nodiscard]] time_point replyDeadlineFor(time_point Deadline);

/** @brief Passes on the first reply, or `unknown` at the deadline. */
[[nodiscard]] job::reply_function
withDeadline(http::loop &Loop, time_point Deadline, job::reply_function Reply);

} // namespace galenalink::job_node

#endif
