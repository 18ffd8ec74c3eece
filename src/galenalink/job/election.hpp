#ifndef GALENALINK_JOB_ELECTION_HPP
#define GALENALINK_JOB_ELECTION_HPP

#include "galenalink/core/time.hpp"
#include "galenalink/job/ports.hpp"

namespace galenalink::job {

/** @brief A record of the `Leader` log. */
struct leader_record {
  enum class kind : std::uint8_t {
    /** Starts an epoch, whose number is the offset of the record plus one. */
    Claim,
    /** The leader of the epoch is alive. */
    Heartbeat,
    /** The leader of the epoch has given up leadership. */
    Release,
  };
  kind Kind{kind::Claim};
  std::string Node;
  /** Address at which the leader serves the other nodes, `host:port`. */
  std::string Address;
  /** Epoch of a `Heartbeat` or `Release`; unused in a `Claim`. */
  std::uint64_t Epoch{0};
};

[[nodiscard]] std::string toText(const leader_record &Record);
[[nodiscard]] std::optional<leader_record> parseLeader(std::string_view Text);

/** @brief Current leader according to the records applied so far. */
struct leadership {
  std::uint64_t Epoch{0};
  std::string Node;
  std::string Address;
  /** There is no leader: it released leadership or is presumed dead. */
  bool Released{true};
};

struct election_settings {
  /** Unique for each start of a process. */
  std::string Node;
  std::string Address;
  duration HeartbeatInterval{std::chrono::milliseconds{600}};
  /** A leader without a heartbeat for this long is replaced. */
  duration ElectionTimeout{std::chrono::milliseconds{1800}};
  /** Election timeout for a leader whose node does not respond to probes
   * either. */
  duration UnreachableTimeout{std::chrono::milliseconds{1200}};
  /** Added to the election timeout; differs by node to avoid competing
   * claims. */
  duration ClaimDelay{0};
  /** Start of this process. */
  time_point StartedAt;
};

/**
 * @brief Delay of a node's claim to a vacant leadership. The leader's load
 * grows with the fleet, so nodes with more CPU time claim first, and the others
 * only if none of those does.
 * @param Cores CPU time that the node may use, in cores.
 * @param NodeSeed Any number that differs by node; selects the jitter.
 */
[[nodiscard]] duration claimDelay(double Cores, std::uint64_t NodeSeed);

enum class election_action : std::uint8_t {
  None,
  Claim,
  Heartbeat,
};

/**
 * @brief Decides when a node claims leadership. The election timeout runs only
 * while the node can read the log: without the store a node cannot observe
 * heartbeats, and during an outage of the store no node can claim.
 */
class election {
public:
  explicit election(election_settings Settings)
      : Settings{std::move(Settings)} {}

  /** @brief Applies a record; to be called in the order of the log. A claim
   * that is not above the current epoch has no effect. */
  void applyRecord(std::uint64_t Offset, const leader_record &Record,
                   time_point Now);
  /** @brief Notes that the log was read up to the given end. */
  void readSucceeded(std::uint64_t End, time_point Now) noexcept;
  /** @brief Notes that a read failed, which suspends the election timeout. */
  void readFailed() noexcept { Reading = false; }
  /** @brief Notes that a heartbeat was appended; restarts the interval to the
   * next one. */
  void heartbeatSent(time_point Now) noexcept { LastAppendAt = Now; }

  [[nodiscard]] election_action next(time_point Now) const;
  [[nodiscard]] const leadership &current() const noexcept { return Current; }
  [[nodiscard]] std::uint64_t end() const noexcept { return End; }
  [[nodiscard]] bool leads() const noexcept {
    return !Current.Released && Current.Node == Settings.Node &&
           Current.Epoch != 0 && OwnEpoch == Current.Epoch;
  }
  /** @brief Notes that the node's own claim was appended at the offset. The
   * claim may have been read and superseded meanwhile. */
  void claimed(std::uint64_t Offset, time_point Now);
  /** @brief Makes the leadership of the epoch vacant without waiting for the
   * election timeout: its node reports that the leading process has ended or
   * cannot write. No effect on a later epoch. The claim delay runs from now on:
   * when the nodes learn of it, it has passed since the last record at all of
   * them, and any node would claim, however little CPU time it has. */
  void presumeDead(std::uint64_t Epoch, time_point Now) noexcept;
  /** @brief Notes that the node of the epoch's leader did not respond; the
   * shorter timeout applies until its next record. */
  void markUnreachable(const std::uint64_t Epoch) noexcept {
    UnreachableEpoch = Epoch;
  }
  /** @return Whether the last read of the log succeeded. */
  [[nodiscard]] bool reading() const noexcept { return Reading; }
  /** @return When this node claims leadership unless a record arrives first. */
  [[nodiscard]] time_point claimAt(time_point Now) const;
  /** @brief Notes that the store has deleted records before they were read. */
  void recordsLost(const time_point Now) noexcept { RecordsLostAt = Now; }
  /** @return The latest time at which a leader before this node's own epoch may
   * have appended a record; meaningful while this node leads. */
  [[nodiscard]] time_point predecessorSeenAt() const noexcept {
    return PredecessorSeenAt;
  }

  /** @return When the last record was applied. */
  [[nodiscard]] time_point lastRecordAt() const noexcept {
    return LastRecordAt;
  }
  /** @brief Gives up this node's leadership even if the log still shows it. */
  void resign() noexcept { OwnEpoch = 0; }
  [[nodiscard]] const election_settings &settings() const noexcept {
    return Settings;
  }

private:
  election_settings Settings;
  leadership Current;
  /** Latest epoch that this process claimed; 0 for none or after resigning. */
  std::uint64_t OwnEpoch{0};
  /** Epoch whose leader's node did not respond; 0 for none. */
  std::uint64_t UnreachableEpoch{0};
  std::uint64_t End{0};
  bool Reading{false};
  time_point ReadingSince;
  time_point LastRecordAt;
  time_point LastAppendAt;
  time_point RecordsLostAt;
  time_point PredecessorSeenAt;
  /** When the leader was last presumed dead. */
  time_point PresumedDeadAt;
};

} // namespace galenalink::job

#endif
