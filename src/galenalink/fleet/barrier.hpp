#ifndef GALENALINK_FLEET_BARRIER_HPP
#define GALENALINK_FLEET_BARRIER_HPP

#include "galenalink/fleet/lease.hpp"
#include "galenalink/fleet/offset_times.hpp"
#include "galenalink/fleet/state.hpp"
#include <map>
#include <optional>

namespace galenalink::fleet {

/**
 * @brief Knowledge of one node that no node can act any more without having
 * folded an offset.
 */
class barrier {
public:
  barrier(const node_id SelfIn, const lease_settings &SettingsIn) noexcept
      : Self(SelfIn), Settings(SettingsIn) {}

  /** @brief The state was folded further, or taken over as a whole. */
  void folded(const state &State, time_point Now);

  /** @brief A heartbeat or its reply of a peer showed a folded offset. */
  void acknowledged(node_id Peer, log_offset Folded, time_point Now);

  /** @brief Moves `reachedThrough` on as far as the evidence allows. */
  void advance(const state &State, time_point Now);

  /** @brief Whether no node can act without having folded the offset. */
  [[nodiscard]] bool reached(const state &State, log_offset Offset,
                             time_point Now);

  /**
   * @brief When the barrier is reached if no more evidence arrives, nothing
   * if the offset is not folded here.
   */
  [[nodiscard]] std::optional<time_point> reachedAt(const state &State,
                                                    log_offset Offset) const;

  /** @brief Every barrier through this offset is known to be reached. */
  [[nodiscard]] log_offset reachedThrough() const noexcept { return Through; }

  /** @brief Newest roster version that is settled, 0 if none. */
  [[nodiscard]] log_offset settled(const state &State) const noexcept;

private:
  [[nodiscard]] std::optional<time_point>
  acknowledgedAt(const state &State, node_id Node, log_offset Offset) const;

  node_id Self;
  lease_settings Settings;
  offset_times Folded;
  std::map<node_id, offset_times> Acknowledged;
  log_offset Through{0};
  /** Roster version for which Acknowledged was last cleaned. */
  log_offset Roster{0};
};

} // namespace galenalink::fleet

#endif
