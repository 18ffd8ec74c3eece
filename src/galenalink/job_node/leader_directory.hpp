#ifndef GALENALINK_JOB_NODE_LEADER_DIRECTORY_HPP
#define GALENALINK_JOB_NODE_LEADER_DIRECTORY_HPP

#include "galenalink/core/time.hpp"
#include "galenalink/job/election.hpp"
#include "galenalink/job_node/request_forwarder.hpp"
#include <map>
#include <string>
#include <vector>

namespace galenalink::job_node {

/**
 * @brief The newest leader that a node knows of, from the leader log or from
 * other nodes.
 *
 * A node that the store does not serve can't read the log and would go on
 * sending requests to the former leader. What other nodes tell it only decides
 * where requests are sent: the addressed node itself checks that it leads.
 */
class leader_directory {
public:
  /** @brief Applies what the leader log shows.
   * @return Whether the leader changed. */
  bool applyLog(const job::leadership &Leader) {
    if (Leader.Epoch < Newest)
      return false;
    return set(Leader.Epoch,
               Leader.Released
                   ? forward_target{}
                   : forward_target{Leader.Epoch, Leader.Node, Leader.Address});
  }
  /** @brief Applies what another node reports. Only a newer leader counts: the
   * log alone shows that one has released leadership.
   * @return Whether the leader changed. */
  bool applyReport(const forward_target &Leader) {
    return Leader.Epoch > Newest && set(Leader.Epoch, Leader);
  }
  /** @return The leader; epoch 0 if there is none. */
  [[nodiscard]] const forward_target &current() const noexcept {
    return Current;
  }
  /** @return The leader before the current one, or before the time without one;
   * epoch 0 if there was none. */
  [[nodiscard]] const forward_target &former() const noexcept { return Former; }

private:
  bool set(const std::uint64_t Epoch, const forward_target &Leader) {
    Newest = Epoch;
    if (Current == Leader)
      return false;
    if (Current.Epoch != 0)
      Former = Current;
    Current = Leader;
    return true;
  }

  std::uint64_t Newest{0};
  forward_target Current;
  forward_target Former;
};

/** @brief Nodes that have recently sent requests to this one as the leader.
 * They are told of its successor. */
class peer_table {
public:
  void recordRequest(const std::string &Address, const time_point Now) {
    if (Address.empty())
      return;
    if (Peers.size() >= MaxPeers && !Peers.contains(Address))
      return;
    Peers.insert_or_assign(Address, Now + Retention);
  }
  /** @return Addresses of the nodes that have sent a request recently. */
  [[nodiscard]] std::vector<std::string> recent(const time_point Now) {
    std::erase_if(Peers,
                  [Now](const auto &Each) { return Each.second <= Now; });
    std::vector<std::string> Addresses;
    for (const auto &[Address, ExpiresAt] : Peers)
      Addresses.push_back(Address);
    return Addresses;
  }

private:
  /** Nodes of the largest deployment; further ones are not told. */
  static constexpr std::size_t MaxPeers = 1024;
  /** A node without requests for this long learns of the leader from its next
   * one. */
  static constexpr duration Retention = std::chrono::seconds{30};

  /** When each entry expires. */
  std::map<std::string, time_point> Peers;
};

} // namespace galenalink::job_node

#endif
