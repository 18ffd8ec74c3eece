#ifndef GALENALINK_NODE_APPLICATION_HPP
#define GALENALINK_NODE_APPLICATION_HPP

#include "galenalink/config/settings.hpp"
#include "galenalink/core/result.hpp"
#include "galenalink/http/client.hpp"
#include "galenalink/http/server.hpp"
#include "galenalink/http/server_metrics.hpp"
#include "galenalink/node/caller_api.hpp"
#include "galenalink/node/incarnation.hpp"
#include "galenalink/node/operator_api.hpp"
#include "galenalink/peer/transport.hpp"
#include "galenalink/platform/embedded.hpp"
#include <memory>
#include <string>

namespace galenalink::node {

/** @brief Secrets that were read from the files named in the settings. */
struct secrets {
  std::string Operators;
  std::string Peers;
};

/** @brief Reads the token files; `BadInput` if one can't be read. */
[[nodiscard]] result<secrets> readSecrets(const config::settings &Settings);

/** @brief An entry node: its listeners, its platform and its incarnation. */
class application {
public:
  application(http::loop &Loop, config::settings Settings, secrets Secrets);
  ~application();
  application(const application &) = delete;
  application &operator=(const application &) = delete;

  /** @brief Opens the listeners and starts; `Unavailable` if one can't. */
  [[nodiscard]] result<void> start();
  /**
   * @brief Starts a graceful shutdown; the loop stops when no caller waits or
   * the stop deadline has passed. A second call stops at once.
   */
  void stop();

private:
  void makeIncarnation(node_id Self);
  [[nodiscard]] platform::adapter makeAdapter();
  [[nodiscard]] result<void> openListeners();
  void makeTransport(node_id Self);
  /** @brief Dials the roster, and the seeds while it is not known. */
  void updateTargets();
  void countTraffic();
  void countConnections();
  void route(call Call, reply_hook Done);
  [[nodiscard]] std::optional<duration> defaultTimeout(const call &Call) const;
  void supervise();
  [[nodiscard]] environment environmentOf();

  http::loop &Loop;
  config::settings Settings;
  secrets Secrets;
  telemetry::metrics Metrics;
  decision_log Decisions;
  http::client Client;
  backend Backend;
  http::address PlatformAddress;
  std::unique_ptr<platform::embedded> Embedded;
  platform::adapter Adapter;
  std::unique_ptr<peer::transport> Peers;
  std::unique_ptr<incarnation> Current;
  std::unique_ptr<caller_api> Callers;
  std::unique_ptr<operator_api> Operators;
  std::unique_ptr<http::server> CallerServer;
  std::unique_ptr<http::server> OperatorServer;
  std::uint16_t CallerPort{0};
  std::uint16_t OperatorPort{0};
  std::uint16_t PeerPort{0};
  /** Roster version whose nodes are dialed. */
  log_offset DialedVersion{0};
  http::server_metrics ServerMetrics;
  http::timer Supervisor;
  http::timer ConnectionCounter;
  time_point StopDeadline{NoDeadline};
  time_point CloseAt{NoDeadline};
  bool Stopping{false};
};

} // namespace galenalink::node

#endif
