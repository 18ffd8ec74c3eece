#ifndef GALENALINK_NODE_OPERATOR_VIEWS_HPP
#define GALENALINK_NODE_OPERATOR_VIEWS_HPP

#include "galenalink/node/decision_log.hpp"
#include "galenalink/node/incarnation.hpp"
#include <string>
#include <vector>

namespace galenalink::node {

/** @brief Whether the promises hold, as JSON. */
[[nodiscard]] std::string statusView(incarnation &Node);
[[nodiscard]] std::string poolsView(const incarnation &Node);
[[nodiscard]] std::string vmsView(const incarnation &Node);
/** @brief Queues of the shards of which this node is home. */
[[nodiscard]] std::string queuesView(incarnation &Node);
/** @brief Documents in force with their versions. */
[[nodiscard]] std::string documentsView(const incarnation &Node);
/** @brief Recorded decisions about a request or a VM. */
[[nodiscard]] std::string
explanationView(const std::vector<decision> &Decisions);
/** @brief What became of a record. */
[[nodiscard]] std::string appendView(std::uint64_t Id,
                                     const append_outcome &Outcome);

} // namespace galenalink::node

#endif
