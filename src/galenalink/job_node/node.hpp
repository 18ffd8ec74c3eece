#ifndef GALENALINK_JOB_NODE_NODE_HPP
#define GALENALINK_JOB_NODE_NODE_HPP

#include "galenalink/http/client.hpp"
#include "galenalink/http/server.hpp"
#include "galenalink/job/controller.hpp"
#include "galenalink/job_node/callback_delay.hpp"
#include "galenalink/job_node/fleet_view.hpp"
#include "galenalink/job_node/keyed_log_reader.hpp"
#include "galenalink/job_node/leader_directory.hpp"
#include "galenalink/job_node/leader_elector.hpp"
#include "galenalink/job_node/loop_delay.hpp"
#include "galenalink/job_node/node_metrics.hpp"
#include "galenalink/job_node/peer_api.hpp"
#include "galenalink/job_node/request_forwarder.hpp"
#include "galenalink/job_node/settings.hpp"

namespace galenalink::job_node {

/**
 * @brief A node on the users' platform. Every node accepts requests of callers
 * and forwards them to the elected leader, which decides on them and schedules
 * the jobs.
 */
class node {
public:
  node(http::loop &Loop, const job::ports &Ports, settings Settings);
  ~node();
  node(const node &) = delete;
  node &operator=(const node &) = delete;

  /** @return `Unavailable` if the address for peers cannot be bound. */
  [[nodiscard]] result<void> start();
  /** @brief Releases leadership; open requests still get their replies.
   * @param OnReleased Called once another node may become the leader. */
  void stop(std::function<void()> OnReleased);

  /** @brief Serves a request on this node or forwards it to the leader.
   * @param Reply Called once, at the latest shortly before the deadline. */
  void handleRequest(const caller_request &Request, job::reply_function Reply);

  [[nodiscard]] const job::fleet_rules &rules() const noexcept {
    return View.rules();
  }
  /** @return When the log of the operator was last read; `NoDeadline` if it was
   * not. */
  [[nodiscard]] time_point rulesReadAt() const noexcept {
    return OperatorReader.lastResponseAt();
  }
  /** @return When the rules were last replaced by a newer version; `NoDeadline`
   * if none was read. */
  [[nodiscard]] time_point rulesAppliedAt() const noexcept {
    return RulesAppliedAt;
  }
  /** @return Whether the key admits requests on the queue by the rules that
   * this node knows. */
  [[nodiscard]] job::access_decision checkAccess(const job::queue_rule &Queue,
                                                 const std::string &Key) const;
  /** @return Whether the log of the operator was read so recently that the
   * rules are in force. Otherwise the leader decides on unknown keys. */
  [[nodiscard]] bool rulesAreCurrent() const;
  /** @return Whether the leader has decided by a newer version than this node
   * has read. A refusal by the older one would take the newer one back. */
  [[nodiscard]] bool rulesAreOutdated() const noexcept {
    return View.rules().Version < LeaderRulesVersion;
  }
  /** @return Whether requests of callers can be served now. */
  [[nodiscard]] bool ready() const;
  [[nodiscard]] bool leads() const noexcept { return Controller != nullptr; }
  /** @brief Metrics in Prometheus' text format, with those of the given
   * servers. */
  [[nodiscard]] std::string
  metrics(std::initializer_list<const http::server *> Servers);

private:
  void applyOperatorRecords(const std::vector<job::keyed_record> &Records);
  void startRecovery(std::uint64_t Epoch);
  void recover(std::uint64_t Epoch);
  void startLeading(std::uint64_t Epoch, const job::latest_result &Records);
  void stopLeading();
  void scheduleDispatch();
  void tick();
  void measureCallbackDelay();
  /** @brief Logs when the leader ceases to grant leases, as its leadership is
   * not confirmed, and when it is again. */
  void logConfirmation();
  void logLoad() const;
  void listVms();
  void serveLocally(const caller_request &Request, job::reply_function Reply);
  void forwardRequest(const forward_target &To, const caller_request &Request,
                      time_point RespondBy,
                      std::function<void(forward_result)> Callback);
  forward_result parsePeerResponse(const http::answer &Answer);
  /** @brief Sends requests to a newer leader, and tells the nodes that have
   * sent theirs here. */
  void followLeader();
  void reportLeader(const std::string &Address);
  void startForwarderTimer();
  void handlePeerRequest(http::exchange Exchange);
  void handleLeaderRequest(http::exchange &Exchange);
  /** @brief Serves a submission as far as that needs no body.
   * @return Whether it has replied, or will do so. */
  [[nodiscard]] bool serveSubmissionHead(const submission_head &Head,
                                         const job::reply_function &Reply);
  void probeLeader(const job::leadership &Leader,
                   std::function<void(probe_result)> Callback);

  http::loop &Loop;
  const job::ports &Ports;
  settings Settings;
  fleet_view View;
  keyed_log_reader OperatorReader;
  keyed_log_reader RegistrationReader;
  leader_elector Elector;
  http::server PeerServer;
  http::client PeerClient;
  request_forwarder Forwarder;
  http::timer ForwarderTimer;
  std::unique_ptr<job::controller> Controller;
  /** Epoch for which the state is being recovered; 0 for none. */
  std::uint64_t RecoveringEpoch{0};
  bool ReadingRegistrations{false};
  bool Stopping{false};
  bool DispatchScheduled{false};
  bool ListingVms{false};
  /** Leadership was confirmed at the last pass of the control loop. */
  bool WasConfirmed{true};
  time_point NextVmListAt;
  time_point RulesAppliedAt{NoDeadline};
  leader_directory Directory;
  peer_table Peers;
  /** Newest version of the rules by which a leader has replied. */
  std::uint64_t LeaderRulesVersion{0};
  /** When a request to a peer last failed; `NoDeadline` after a success. */
  time_point ForwardFailedAt{NoDeadline};
  /** Retries recovery, then calls `tick()` while this node leads. */
  http::timer TickTimer;
  loop_delay LoopDelay;
  callback_delay CallbackDelay;
  node_metrics Metrics;
  std::shared_ptr<job::counters> Counts{std::make_shared<job::counters>()};
  std::shared_ptr<bool> LifetimeToken{std::make_shared<bool>(true)};
};

} // namespace galenalink::job_node

#endif
