#ifndef GALENALINK_NODE_DUTY_HPP
#define GALENALINK_NODE_DUTY_HPP

#include "galenalink/fleet/rights.hpp"
#include <algorithm>
#include <string_view>

namespace galenalink::node {

/**
 * @brief Whether this node is the first in rank for a duty among those that
 * answer. Two nodes may think so at once; the fold accepts one record.
 * @param Excluded Node that is never on this duty.
 */
[[nodiscard]] inline bool onDuty(const fleet::node_view &View,
                                 const std::string_view Duty,
                                 const time_point Now,
                                 const node_id Excluded = {}) {
  if (!View.Authority.holds(Now))
    return false;
  const auto Order = fleet::dutyOrder(View.State.Roster, Duty);
  const auto First =
      std::find_if(Order.begin(), Order.end(), [&](const node_id Node) {
        return Node == View.Self ||
               (Node != Excluded && !View.Authority.suspects(Node, Now));
      });
  return First != Order.end() && *First == View.Self;
}

} // namespace galenalink::node

#endif
