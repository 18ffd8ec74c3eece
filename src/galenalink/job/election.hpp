#ifndef GALENALINK_JOB_ELECTION_HPP
#define GALENALINK_JOB_ELECTION_HPP

#include "galenalink/core/time.hpp"
#include "galenalink/job/ports.hpp"

namespace galenalink::job {

/** @brief A record of the leader's log. */
struct leader_record {
  enum class kind : std::uint8_t {
    /** Starts an epoch: the offset of the record plus one. */
    Claim,
    /** The leader of the epoch is alive. */
    Heartbeat,
    /** The leader of the epoch has stopped. */
    Release,
  };
  kind Kind{kind::Claim};
  std::string Node;
  /** Where the leader serves the other nodes, `host:port`. */
  std::string Address;
  /** Epoch of an `Alive` or `Release`. */
  std::uint64_t Epoch{0};
};

[[nodiscard]] std::string toText(const leader_record &Record);
[[nodiscard]] std::optional<leader_record> parseLeader(std::string_view Text);

/** @brief Who leads, by the records seen so far. */
struct leadership {
  std::uint64_t Epoch{0};
  std::string Node;
  std::string Address;
  bool Released{true};
};

struct election_settings {
  /** Unique for each start of a process. */
  std::string Node;
  std::string Address;
  duration HeartbeatInterval{std::chrono::milliseconds{600}};
  /** A leader without a sign of life for this long is replaced. */
  duration ElectionTimeout{std::chrono::milliseconds{1800}};
  /** The same for a leader whose node does not answer either. */
  duration UnreachableTimeout{std::chrono::milliseconds{1200}};
  /** Added to the silence; differs by node, so that one claims first. */
  duration ClaimDelay{0};
  /** Start of this process. */
  time_point StartedAt;
};

/**
 * @brief How long a node waits before it claims a lead that is free. The
 * leader's work grows with the fleet, so that nodes with more processor time
 * claim first and the others follow if none of those does.
 * @param Cores Processor time that the node may use, in cores.
 * @param NodeSeed Any number that differs by node.
 */
[[nodiscard]] duration claimDelay(double Cores, std::uint64_t NodeSeed);

enum class election_action : std::uint8_t {
  None,
  Claim,
  Heartbeat,
};

/**
 * @brief Decides when a node claims to lead. Silence counts only while the
 * node reads the log: a node without the store learns nothing, and with the
 * store down for all nobody can claim.
 */
class election {
public:
  explicit election(election_settings Settings)
      : Settings{std::move(Settings)} {}

  /** @brief Takes note of a record; records come in the order of the log. */
  void applyRecord(std::uint64_t Offset, const leader_record &Record,
                   time_point Now);
  /** @brief A read of the log succeeded, up to the given end. */
  void readSucceeded(std::uint64_t End, time_point Now) noexcept;
  /** @brief A read failed, so that silence says nothing. */
  void readFailed() noexcept { Reading = false; }
  /** @brief An append was made, so that the next one is due later. */
  void heartbeatSent(time_point Now) noexcept { LastAppendAt = Now; }

  [[nodiscard]] election_action next(time_point Now) const;
  [[nodiscard]] const leadership &current() const noexcept { return Current; }
  [[nodiscard]] std::uint64_t end() const noexcept { return End; }
  [[nodiscard]] bool leads() const noexcept {
    return !Current.Released && Current.Node == Settings.Node &&
           Current.Epoch != 0 && OwnEpoch == Current.Epoch;
  }
  /** @brief The node's own claim was appended at the offset. */
  void claimed(std::uint64_t Offset, time_point Now);
  /** @brief The process that leads the epoch has ended or can't write, as its
   * node shows, so that its silence need not be waited for. */
  void presumeDead(std::uint64_t Epoch) noexcept;
  /** @brief The node of the epoch's leader did not answer. */
  void markUnreachable(const std::uint64_t Epoch) noexcept {
    UnreachableEpoch = Epoch;
  }
  /** @return Whether the last read of the log succeeded. */
  [[nodiscard]] bool reading() const noexcept { return Reading; }
  /** @return When this node claims if no sign of life comes until then. */
  [[nodiscard]] time_point claimAt(time_point Now) const;
  /** @return Since when the leader has been silent. */
  [[nodiscard]] time_point silentSince() const noexcept { return LastRecordAt; }
  /** @brief The node no longer leads its epoch, whatever the log says. */
  void resign() noexcept { OwnEpoch = 0; }
  [[nodiscard]] const election_settings &settings() const noexcept {
    return Settings;
  }

private:
  election_settings Settings;
  leadership Current;
  /** Epoch that this process claimed; 0 if it does not lead. */
  std::uint64_t OwnEpoch{0};
  /** Epoch whose leader's node did not answer; 0 for none. */
  std::uint64_t UnreachableEpoch{0};
  std::uint64_t End{0};
  bool Reading{false};
  time_point ReadingSince;
  time_point LastRecordAt;
  time_point LastAppendAt;
};

} // namespace galenalink::job

#endif
