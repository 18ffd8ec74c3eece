#ifndef GALENALINK_NODE_SNAPSHOT_DUTY_HPP
#define GALENALINK_NODE_SNAPSHOT_DUTY_HPP

#include "galenalink/fleet/rights.hpp"
#include "galenalink/fleet/snapshot.hpp"
#include "galenalink/node/log_follower.hpp"
#include <functional>
#include <string>
#include <vector>

namespace galenalink::node {

/** @brief Writes snapshots of the state into the log when one is due. */
class snapshot_duty {
public:
  /** @param Account Serialized account at the folded offset. */
  snapshot_duty(const fleet::node_view &View, log_follower &Log,
                std::function<std::string()> Account);

  void tick(time_point Now);

private:
  void appendNext();

  const fleet::node_view &View;
  log_follower &Log;
  std::function<std::string()> Account;
  fleet::snapshot_schedule Schedule;
  /** Chunks that are not in the log yet; the next one is last. */
  std::vector<wire::snapshot_chunk> Chunks;
  time_point NextTry{NoDeadline};
};

} // namespace galenalink::node

#endif
