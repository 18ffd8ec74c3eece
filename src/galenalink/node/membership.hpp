#ifndef GALENALINK_NODE_MEMBERSHIP_HPP
#define GALENALINK_NODE_MEMBERSHIP_HPP

#include "galenalink/fleet/rights.hpp"
#include "galenalink/node/log_follower.hpp"
#include <functional>
#include <string>

namespace galenalink::node {

/** @brief How this node appears on the roster. */
struct node_description {
  node_id Id{};
  std::string Name;
  std::string DataCentre;
  std::string Customer;
  std::string PeerAddress;
  std::string CallerAddress;
};

/**
 * @brief Keeps this node on the roster, and takes nodes off it that have
 * stopped answering.
 */
class membership {
public:
  membership(const fleet::node_view &View, log_follower &Log,
             node_description Self);

  void tick(time_point Now);
  /**
   * @brief Leaves the roster. To be called after authority was resigned.
   * @param Done Called once the log took the record or refused it.
   */
  void leave(time_point Deadline, std::function<void()> Done);

  /** @brief Whether the node is on the folded roster. */
  [[nodiscard]] bool joined() const noexcept;
  /** @brief Whether another node took this one off the roster. */
  [[nodiscard]] bool evicted() const noexcept;

private:
  void join(time_point Now);
  void renew(time_point Now);
  void evict(time_point Now);
  [[nodiscard]] wire::record recordOf() const;

  const fleet::node_view &View;
  log_follower &Log;
  node_description Self;
  bool WasJoined{false};
  bool Leaving{false};
  time_point NextJoin{NoDeadline};
  time_point NextRenewal{NoDeadline};
  log_offset ReportedSettled{0};
  time_point NextEviction{NoDeadline};
};

} // namespace galenalink::node

#endif
