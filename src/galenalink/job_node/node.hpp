#ifndef GALENALINK_JOB_NODE_NODE_HPP
#define GALENALINK_JOB_NODE_NODE_HPP

#include "galenalink/http/client.hpp"
#include "galenalink/http/server.hpp"
#include "galenalink/job/controller.hpp"
#include "galenalink/job_node/fleet_view.hpp"
#include "galenalink/job_node/keyed_log_reader.hpp"
#include "galenalink/job_node/leader_elector.hpp"
#include "galenalink/job_node/node_metrics.hpp"
#include "galenalink/job_node/request_forwarder.hpp"
#include "galenalink/job_node/settings.hpp"

namespace galenalink::job_node {

/**
 * @brief One node on the users' platform. Every node takes callers' requests;
 * the elected one decides on them and places the work.
 */
class node {
public:
  node(http::loop &Loop, const job::ports &Ports, settings Settings);
  ~node();
  node(const node &) = delete;
  node &operator=(const node &) = delete;

  /** @return `Unavailable` if the peers' address can't be bound. */
  [[nodiscard]] result<void> start();
  /** @brief Hands the lead over; answers of open calls still come.
   * @param OnReleased Called when another node may lead. */
  void stop(std::function<void()> OnReleased);

  /** @brief Answers a call, here or at the leader. */
  void handleRequest(const caller_request &Request, job::reply_function Reply);

  [[nodiscard]] const job::fleet_rules &rules() const noexcept {
    return View.rules();
  }
  /** @return Whether callers' requests can be served now. */
  [[nodiscard]] bool ready() const;
  [[nodiscard]] bool leads() const noexcept { return Controller != nullptr; }
  /** @brief Metrics in Prometheus' text format. */
  [[nodiscard]] std::string metrics();

private:
  void applyOperatorRecords(const std::vector<job::keyed_record> &Records);
  void startRecovery(std::uint64_t Epoch);
  void recover(std::uint64_t Epoch);
  void startLeading(std::uint64_t Epoch, const job::newest_result &Records);
  void stopLeading();
  void scheduleDispatch();
  void tick();
  void listVms();
  void serveLocally(const caller_request &Request, job::reply_function Reply);
  void forwardRequest(const forward_target &To, const caller_request &Request,
                      time_point RespondBy,
                      std::function<void(forward_result)> Callback);
  forward_result parsePeerResponse(const http::answer &Answer);
  void startForwarderTimer();
  void handlePeerRequest(http::exchange Exchange);
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
  /** Epoch that is being recovered; 0 if none is. */
  std::uint64_t RecoveringEpoch{0};
  bool ReadingRegistrations{false};
  bool Stopping{false};
  bool DispatchScheduled{false};
  bool ListingVms{false};
  time_point NextVmListAt;
  /** When a forwarded call last failed; `NoDeadline` after one that worked. */
  time_point ForwardFailedAt{NoDeadline};
  http::timer TickTimer;
  node_metrics Metrics;
  std::shared_ptr<job::counters> Counts{std::make_shared<job::counters>()};
  std::shared_ptr<bool> LifetimeToken{std::make_shared<bool>(true)};
};

} // namespace galenalink::job_node

#endif
