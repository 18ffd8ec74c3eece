#ifndef GALENALINK_JOB_NODE_LEADER_ELECTOR_HPP
#define GALENALINK_JOB_NODE_LEADER_ELECTOR_HPP

#include "galenalink/http/loop.hpp"
#include "galenalink/job/election.hpp"

namespace galenalink::job_node {

/** @brief What a leader's node said of the leader. */
enum class probe_result : std::uint8_t {
  Healthy,
  /** It surely does not lead, or it leads and the store does not answer it. */
  Unhealthy,
  /** The node did not answer. */
  NoResponse,
};

inline constexpr enum_names<probe_result, 3> ProbeResultNames{{
    {probe_result::Healthy, "leads"},
    {probe_result::Unhealthy, "gone"},
    {probe_result::NoResponse, "silent"},
}};

/**
 * @brief Takes part in the election of the leader: follows the leader's log,
 * claims, shows signs of life and releases the lead at a stop.
 */
class leader_elector {
public:
  struct hooks {
    /** This node has claimed the epoch. */
    std::function<void(std::uint64_t Epoch)> OnElected;
    /** This node no longer leads. */
    std::function<void()> OnDeposed;
    /** Another process leads, or the lead is free. */
    std::function<void(const job::leadership &)> OnLeaderChange;
    /** Asks the leader's node whether that process still leads. */
    std::function<void(const job::leadership &,
                       std::function<void(probe_result)>)>
        Probe;
  };

  leader_elector(http::loop &Loop, const job::ports &Ports,
                 job::election_settings Settings, hooks Hooks);

  void start();
  /** @brief The epoch was superseded, as another system has told. */
  void markFenced();
  /** @brief Gives up the lead and takes part no longer. */
  void release(std::function<void()> OnReleased);

  [[nodiscard]] const job::leadership &current() const noexcept {
    return Election.current();
  }
  [[nodiscard]] bool leads() const noexcept { return Election.leads(); }
  /** @return Whether this node leads and its appends are answered, so that no
   * other one need replace it. */
  [[nodiscard]] bool isHealthyLeader() const noexcept;
  /** @return When the store last answered. */
  [[nodiscard]] time_point lastResponseAt() const noexcept {
    return LastResponseAt;
  }
  /** @return When the newest append that succeeded was sent; others can't have
   * taken the leader for silent before that. */
  [[nodiscard]] time_point confirmedAt() const noexcept { return ConfirmedAt; }

private:
  void step();
  void schedule(duration Delay);
  void read(std::uint32_t WaitMs);
  void append(job::leader_record::kind Kind);
  void handleAppendResult(job::leader_record::kind Kind, std::uint64_t Offset,
                          const job::claim_result &Result);
  void handleReadResult(const job::read_result &Result);
  void notifyIfDeposed();
  void notifyLeaderChange();
  void probeLeader();
  void handleProbeResult(std::uint64_t Epoch, probe_result Result);

  http::loop &Loop;
  const job::ports &Ports;
  job::election Election;
  hooks Hooks;
  bool Stopped{false};
  bool WasLeading{false};
  /** What was told last. */
  std::uint64_t NotifiedEpoch{0};
  bool NotifiedReleased{true};
  /** An append did not succeed, so that the log must be read first. */
  bool MustReadLog{true};
  /** Calls that are under way. */
  bool ReadInFlight{false};
  bool AppendInFlight{false};
  bool ProbeInFlight{false};
  /** Epoch whose leader was asked once; 0 at the start. */
  std::uint64_t ProbedEpoch{0};
  http::timer ProbeTimer;
  time_point LastResponseAt{NoDeadline};
  time_point AppendSentAt{NoDeadline};
  /** Since when appends have had no answer; `NoDeadline` if the last one had
   * one. */
  time_point UnansweredSince{NoDeadline};
  time_point ConfirmedAt{NoDeadline};
  http::timer Timer;
  std::shared_ptr<bool> LifetimeToken{std::make_shared<bool>(true)};
};

} // namespace galenalink::job_node

#endif
