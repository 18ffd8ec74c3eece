#ifndef GALENALINK_FLEET_ROSTER_HPP
#define GALENALINK_FLEET_ROSTER_HPP

#include "galenalink/core/fwd.hpp"
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace galenalink::fleet {

/** @brief What a node stated about itself when it joined. */
struct node_info {
  node_id Id{};
  std::string Name;
  std::string DataCentre;
  std::string Customer;
  std::string PeerAddress;
  std::string CallerAddress;
  log_offset JoinedAt{0};
};

using node_ref = std::shared_ptr<const node_info>;

/** @brief The nodes of one roster version, ordered by id. */
struct roster_version {
  /** Offset of the record that made this version. */
  log_offset Version{0};
  std::vector<node_ref> Nodes;

  [[nodiscard]] const node_info *find(node_id Id) const noexcept;
};

/** @brief Entry nodes by the log, with the versions that may still be used. */
struct roster {
  static constexpr std::size_t MaxNodes = 1024;
  /** Versions kept; a barrier over a dropped one takes the slow way. */
  static constexpr std::size_t MaxVersions = 256;

  /**
   * Versions from the last settled one on, oldest first; the newest is in
   * force. Empty before the first join.
   */
  std::deque<roster_version> Versions;
  /** Log time of the newest renewal (or the join) of each node in force. */
  std::map<node_id, wall_ms> RenewedAt;
  /**
   * Nodes of kept versions that stopped for good (left by themselves or were
   * confirmed stopped), with the offset of that record.
   */
  std::map<node_id, log_offset> Stopped;
  /** Newest version that some node reported as settled. */
  log_offset Settled{0};
  /** Newest version that was dropped before it was known as settled. */
  log_offset Dropped{0};

  /** @brief Offset of the newest roster change, 0 before the first join. */
  [[nodiscard]] log_offset version() const noexcept;
  /** @brief Nodes in force. */
  [[nodiscard]] const std::vector<node_ref> &nodes() const noexcept;
  [[nodiscard]] const node_info *find(node_id Id) const noexcept;
  /** @brief Whether any kept version has the node. */
  [[nodiscard]] bool known(node_id Id) const noexcept;

  void add(node_ref Node, wall_ms Now);
  void remove(node_id Id, log_offset Offset);
  /** @brief Drops what is older than a settled version. */
  void settle(log_offset Version);

private:
  void push(roster_version Next);
  void prune();
};

} // namespace galenalink::fleet

#endif
