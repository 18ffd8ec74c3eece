#ifndef GALENALINK_JOB_NODE_LEADER_ELECTOR_HPP
#define GALENALINK_JOB_NODE_LEADER_ELECTOR_HPP

#include "galenalink/http/loop.hpp"
#include "galenalink/job/election.hpp"

namespace galenalink::job_node {

/** @brief Result of a probe of the leader's node. */
enum class probe_result : std::uint8_t {
  /** It is the leader, and the store accepts its appends. */
  Healthy,
  /** It is certainly not the leader, or its appends do not succeed. */
  Unhealthy,
  /** The node did not respond. */
  NoResponse,
};

/** Values of the log field `answer`. */
inline constexpr enum_names<probe_result, 3> ProbeResultNames{{
    {probe_result::Healthy, "leads"},
    {probe_result::Unhealthy, "gone"},
    {probe_result::NoResponse, "silent"},
}};

/**
 * @brief Takes part in the leader election: reads the leader log, claims
 * leadership, appends heartbeats while leading and releases leadership at a
 * stop.
 */
class leader_elector {
public:
  struct hooks {
    /** This node has been elected leader of the epoch; called once for each
     * epoch. A second leader of one epoch would append under sequence numbers
     * that the first one has used, which the store acknowledges without storing
     * anything. */
    std::function<void(std::uint64_t Epoch)> OnElected;
    /** This node is no longer the leader. */
    std::function<void()> OnDeposed;
    /** Another process became the leader, or leadership was released. */
    std::function<void(const job::leadership &)> OnLeaderChange;
    /** Asks the leader's node whether that process is still the leader. */
    std::function<void(const job::leadership &,
                       std::function<void(probe_result)>)>
        Probe;
  };

  leader_elector(http::loop &Loop, const job::ports &Ports,
                 job::election_settings Settings, hooks Hooks);

  void start();
  /** @brief Gives up the epoch after a request to an outside system was fenced
   * by a higher one.
   * @param RejectedBy The outside system, for the log. */
  void markFenced(std::string_view RejectedBy);
  /** @brief Appends a heartbeat without waiting for the interval, unless one is
   * in flight or was sent a moment ago. */
  void confirmSoon();
  /** @brief Releases leadership and leaves the election. */
  void release(std::function<void()> OnReleased);

  [[nodiscard]] const job::leadership &current() const noexcept {
    return Election.current();
  }
  [[nodiscard]] bool leads() const noexcept { return Election.leads(); }
  [[nodiscard]] const job::election_settings &settings() const noexcept {
    return Election.settings();
  }
  /** @return Whether this node is the leader and the store accepts its appends,
   * so that it need not be replaced. */
  [[nodiscard]] bool isHealthyLeader() const noexcept;
  /** @return When the store last served a read or an append; `NoDeadline` if it
   * never did. */
  [[nodiscard]] time_point lastResponseAt() const noexcept {
    return LastResponseAt;
  }
  /** @return When the latest successful append was sent. The election timeout
   * of other nodes starts no earlier. */
  [[nodiscard]] time_point confirmedAt() const noexcept { return ConfirmedAt; }
  /** @return When the latest record before this node's claim was read or
   * written. */
  [[nodiscard]] time_point predecessorSeenAt() const noexcept {
    return Election.predecessorSeenAt();
  }

private:
  void step();
  void schedule(duration Delay);
  void read(std::uint32_t WaitMs);
  void append(job::leader_record::kind Kind);
  void handleAppendResult(job::leader_record::kind Kind, std::uint64_t Offset,
                          const job::claim_result &Result);
  void handleReadResult(const job::read_result &Result);
  void notifyIfElected();
  /** @param RejectedBy The outside system that fenced a request; empty if the
   * log shows the successor. */
  void notifyIfDeposed(std::string_view RejectedBy = {});
  void notifyLeaderChange();
  /** @brief Counts an own heartbeat in the log whose response was lost as a
   * confirmation. It was appended no earlier than the first append without a
   * response was sent. */
  void confirmByRecord(const job::leader_record &Record);
  void probeLeader();
  void handleProbeResult(std::uint64_t Epoch, probe_result Result);

  http::loop &Loop;
  const job::ports &Ports;
  job::election Election;
  hooks Hooks;
  bool Stopped{false};
  bool WasLeading{false};
  /** Latest epoch in which this node led; 0 for none. */
  std::uint64_t LedEpoch{0};
  /** Leadership last passed to `OnLeaderChange`. */
  std::uint64_t NotifiedEpoch{0};
  bool NotifiedReleased{true};
  /** The log must be read before the next append: not yet read to its end, or
   * an append failed. */
  bool MustReadLog{true};
  bool ReadInFlight{false};
  bool AppendInFlight{false};
  bool ProbeInFlight{false};
  /** Epoch of the last probed leader; 0 before the first probe. */
  std::uint64_t ProbedEpoch{0};
  http::timer ProbeTimer;
  time_point LastResponseAt{NoDeadline};
  time_point AppendSentAt{NoDeadline};
  /** When the first append since the last one that succeeded or was fenced was
   * sent; `NoDeadline` if there is none. */
  time_point UnconfirmedSince{NoDeadline};
  time_point ConfirmedAt{NoDeadline};
  http::timer Timer;
  std::shared_ptr<bool> LifetimeToken{std::make_shared<bool>(true)};
};

} // namespace galenalink::job_node

#endif
