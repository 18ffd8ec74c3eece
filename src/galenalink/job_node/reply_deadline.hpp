#ifndef GALENALINK_JOB_NODE_REPLY_DEADLINE_HPP
#define GALENALINK_JOB_NODE_REPLY_DEADLINE_HPP

#include "galenalink/http/loop.hpp"
#include "galenalink/job/leader.hpp"

namespace galenalink::job_node {

/** @return Latest time at which a reply must be sent to a caller that waits
 * until the deadline. */
[[nodiscard]] time_point replyDeadlineFor(time_point Deadline);

/** @return A function that passes only the first reply on to `Reply`. If there
 * is none by the deadline, `Reply` gets an `Unknown` verdict. */
[[nodiscard]] job::reply_function
withDeadline(http::loop &Loop, time_point Deadline, job::reply_function Reply);

} // namespace galenalink::job_node

#endif
