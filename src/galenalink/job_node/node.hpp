#ifndef GALENALINK_JOB_NODE_NODE_HPP
#define GALENALINK_JOB_NODE_NODE_HPP

#include "galenalink/http/client.hpp"
#include "galenalink/http/server.hpp"
#include "galenalink/job/controller.hpp"
#include "galenalink/job_node/caller_relay.hpp"
#include "galenalink/job_node/fleet_view.hpp"
#include "galenalink/job_node/keyed_tail.hpp"
#include "galenalink/job_node/leader_seat.hpp"
#include "galenalink/job_node/node_metrics.hpp"
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
  void call(const caller_call &Call, job::reply_function Reply);

  [[nodiscard]] const job::fleet_rules &rules() const noexcept {
    return View.rules();
  }
  /** @return Whether callers' requests can be served now. */
  [[nodiscard]] bool ready() const;
  [[nodiscard]] bool leads() const noexcept { return Controller != nullptr; }
  /** @brief Metrics in Prometheus' text format. */
  [[nodiscard]] std::string metrics();

private:
  void takeOperator(const std::vector<job::keyed_record> &Records);
  void elected(std::uint64_t Epoch);
  void recover(std::uint64_t Epoch);
  void lead(std::uint64_t Epoch, const job::latest_result &Records);
  void deposed();
  void scheduleSettle();
  void tick();
  void listVms();
  void serveHere(const caller_call &Call, job::reply_function Reply);
  void pass(const relay_target &To, const caller_call &Call,
            time_point AnswerBy, std::function<void(relay_answer)> Callback);
  relay_answer takePeerAnswer(const http::answer &Answer);
  void watchRelay();
  void fromPeer(http::exchange Exchange);
  void probe(const job::leadership &Leader,
             std::function<void(probe_answer)> Answer);

  http::loop &Loop;
  const job::ports &Ports;
  settings Settings;
  fleet_view View;
  keyed_tail OperatorTail;
  keyed_tail RegistrationTail;
  leader_seat Seat;
  http::server PeerServer;
  http::client PeerClient;
  caller_relay Relay;
  http::timer RelayTimer;
  std::unique_ptr<job::controller> Controller;
  /** Epoch that is being recovered; 0 if none is. */
  std::uint64_t Recovering{0};
  bool Tailing{false};
  bool Stopping{false};
  bool SettlePosted{false};
  bool ListingVms{false};
  time_point NextVmList;
  /** When a forwarded call last failed; `NoDeadline` after one that worked. */
  time_point ForwardFailedAt{NoDeadline};
  http::timer Tick;
  node_metrics Metrics;
  std::shared_ptr<job::counters> Counts{std::make_shared<job::counters>()};
  std::shared_ptr<bool> Alive{std::make_shared<bool>(true)};
};

} // namespace galenalink::job_node

#endif
