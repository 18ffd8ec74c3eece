#ifndef GALENALINK_JOB_QUEUE_MATCH_HPP
#define GALENALINK_JOB_QUEUE_MATCH_HPP

#include "galenalink/job/types.hpp"
#include <string_view>

namespace galenalink::job {

/** @return The queue of the host with the longest prefix of the path, the first
 * one of equal queues; `nullptr` if none matches. */
[[nodiscard]] inline const queue_rule *
matchQueue(const fleet_rules &Rules, const std::string_view Host,
           const std::string_view Path) noexcept {
  const queue_rule *Best = nullptr;
  for (const auto &Queue : Rules.Queues) {
    if (Queue.Host != Host || !Path.starts_with(Queue.PathPrefix))
      continue;
    if (Best == nullptr || Queue.PathPrefix.size() > Best->PathPrefix.size())
      Best = &Queue;
  }
  return Best;
}

} // namespace galenalink::job

#endif
