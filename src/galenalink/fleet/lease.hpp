#ifndef GALENALINK_FLEET_LEASE_HPP
#define GALENALINK_FLEET_LEASE_HPP

#include "galenalink/core/time.hpp"
#include <cstddef>

namespace galenalink::fleet {

/** @brief Times on which authority and barrier rely; equal on all nodes. */
struct lease_settings {
  /** Authority lasts this long after the evidence was asked for. */
  duration Lease{std::chrono::milliseconds{1500}};
  /** Peer evidence counts for at most this long after log evidence. */
  duration OutageAllowance{std::chrono::seconds{900}};
  /** A peer without an answered heartbeat for this long is suspected. */
  duration Suspect{std::chrono::milliseconds{1500}};
  /** Added to the waiting times of a barrier. */
  duration Margin{std::chrono::milliseconds{50}};
  /** Age of a node's last renewal, in log time, that lets any node evict. */
  wall_ms RenewalAgeMs{90'000};
};

/** @brief A waiting time, long enough on clocks that differ by 0.1%. */
[[nodiscard]] constexpr duration withDrift(const duration Time) noexcept {
  return Time + Time / 1000 + duration{1};
}

/**
 * @brief Peers whose answers give a node authority, besides itself.
 * @param Nodes Size of the roster, at least 2.
 */
[[nodiscard]] constexpr std::size_t
peersForAuthority(const std::size_t Nodes) noexcept {
  return Nodes / 2;
}

/**
 * @brief Nodes whose acknowledgement leaves too few others for authority. A
 * node that did not acknowledge finds at most Nodes - this - 1 peers that
 * answer with an older offset, fewer than peersForAuthority.
 */
[[nodiscard]] constexpr std::size_t
acknowledgementsForBarrier(const std::size_t Nodes) noexcept {
  // A single node has no peer evidence at all.
  return Nodes == 1 ? 0 : Nodes - Nodes / 2;
}

} // namespace galenalink::fleet

#endif
