#include "galenalink/job_node/reply_deadline.hpp"
#include <algorithm>

namespace galenalink::job_node {

namespace {

using verdict = job::caller_reply::verdict;

/** A reply is sent this long before the caller stops waiting, or after three
 * quarters of the remaining time if that is later. */
constexpr duration ReplyMargin = std::chrono::milliseconds{150};
/** Longest time that a request waits for the store before its outcome is
 * reported as unknown. */
constexpr duration MaxReplyTime = std::chrono::milliseconds{2000};

job::caller_reply unknown(std::string Reason) {
  job::caller_reply Reply;
  Reply.Verdict = verdict::Unknown;
  Reply.Reason = std::move(Reason);
  return Reply;
}

} // namespace

time_point replyDeadlineFor(const time_point Deadline) {
  const time_point Now = boot_clock::now();
  const duration Left = std::max(Deadline - Now, duration{0});
  return Now +
         std::min(std::max(Left - ReplyMargin, Left * 3 / 4), MaxReplyTime);
}

job::reply_function withDeadline(http::loop &Loop, const time_point Deadline,
                                 job::reply_function Reply) {
  struct state {
    job::reply_function Reply;
    http::timer Timer;
  };
  auto State = std::make_shared<state>();
  State->Reply = std::move(Reply);
  State->Timer = Loop.at(Deadline, [State] {
    if (const auto Callback = std::exchange(State->Reply, {}))
      Callback(unknown("no outcome in time"));
  });
  return [State](const job::caller_reply &Result) {
    State->Timer.cancel();
    if (const auto Callback = std::exchange(State->Reply, {}))
      Callback(Result);
  };
}

} // namespace galenalink::job_node
