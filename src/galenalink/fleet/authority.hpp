#ifndef GALENALINK_FLEET_AUTHORITY_HPP
#define GALENALINK_FLEET_AUTHORITY_HPP

#include "galenalink/fleet/lease.hpp"
#include "galenalink/fleet/state.hpp"
#include <map>
#include <optional>
#include <vector>

namespace galenalink::fleet {

namespace detail {

/** @brief Answers that count once their offset is folded here. */
class evidence {
public:
  /** Answers kept while this node is behind them. */
  static constexpr std::size_t MaxPending = 16;

  /** @brief An answer to a request sent at a time showed this offset. */
  void add(time_point SentAt, log_offset Shown, log_offset Folded);
  /** @brief Counts the answers through a folded offset. */
  void folded(log_offset Folded);
  /** @brief Sending time of the newest answer that counts. */
  [[nodiscard]] std::optional<time_point> sentAt() const noexcept {
    return Newest;
  }

private:
  struct answer {
    time_point SentAt;
    log_offset Shown;
  };
  std::optional<time_point> Newest;
  std::vector<answer> Pending;
};

} // namespace detail

/**
 * @brief Right of a node to act on its copy of the state, as a deadline. After
 * each fold, `folded` must be called before the deadline is used.
 */
class authority {
public:
  authority(const node_id SelfIn, const lease_settings &SettingsIn) noexcept
      : Self(SelfIn), Settings(SettingsIn) {}

  /** @brief The state was folded further, or taken over as a whole. */
  void folded(const state &State, time_point Now);

  /**
   * @brief A read of the log returned.
   * @param SentAt When the read was sent.
   * @param End One past the newest offset in the log at that read.
   */
  void logRead(const state &State, time_point SentAt, log_offset End);

  /**
   * @brief A peer answered a heartbeat.
   * @param SentAt When the heartbeat was sent.
   * @param Folded Offset that the peer had folded when it answered.
   */
  void peerAnswered(const state &State, node_id Peer, time_point SentAt,
                    log_offset Folded);

  /**
   * @brief Gives up authority for good. To be called before node_leave is
   * appended.
   */
  void resign() noexcept;

  /** @brief The node may act before this time. */
  [[nodiscard]] time_point deadline() const noexcept { return Deadline; }
  [[nodiscard]] bool holds(const time_point Now) const noexcept {
    return Now < Deadline;
  }

  /**
   * @brief Whether heartbeats may be answered. A node that left must not: the
   * barrier counts it as unable to lend authority from then on.
   */
  [[nodiscard]] bool answers() const noexcept { return !Resigned; }

  /** @brief Whether a node of the roster has not answered for too long. */
  [[nodiscard]] bool suspects(node_id Peer, time_point Now) const;

  /**
   * @brief Whether a suspected node may be evicted: a majority without it
   * answers, or its renewal is too old in log time.
   */
  [[nodiscard]] bool mayEvict(const state &State, node_id Victim,
                              time_point Now) const;

private:
  struct peer {
    detail::evidence Evidence;
    /** Sending time of the newest answered heartbeat, or first sight. */
    time_point Heard;
  };

  void update(const state &State);

  node_id Self;
  lease_settings Settings;
  detail::evidence Log;
  std::map<node_id, peer> Peers;
  time_point Deadline{NoDeadline};
  bool Resigned{false};
};

} // namespace galenalink::fleet

#endif
