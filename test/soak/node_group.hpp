#ifndef GALENALINK_TEST_SOAK_NODE_GROUP_HPP
#define GALENALINK_TEST_SOAK_NODE_GROUP_HPP

#include "galenalink/http/address.hpp"
#include "galenalink/http/loop.hpp"
#include "soak/disruption_log.hpp"
#include "soak/tcp_proxy.hpp"
#include "system/process.hpp"
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace galenalink::soak {

/** @brief Node processes, with the signals and restarts of their platform. */
class node_group {
public:
  node_group(http::loop &Loop, disruption_log &Disruptions);
  /** @brief Kills the nodes; keeps their logs if `SOAK_KEEP_LOGS` is set. */
  ~node_group();
  node_group(const node_group &) = delete;
  node_group &operator=(const node_group &) = delete;

  /** @brief Starts a node with links of its own to the services.
   * @param Overrides Settings in place of the usual ones. */
  void add(const http::address &Store, const http::address &VmList,
           const nlohmann::json &Overrides = nlohmann::json::object());
  [[nodiscard]] std::size_t size() const noexcept { return Nodes.size(); }
  /** @return Address of the link from callers to the node. */
  [[nodiscard]] http::address callersAddress(std::size_t Node) const;
  /** @return Addresses on which the node itself listens, without a link. */
  [[nodiscard]] static http::address callersListener(std::size_t Node);
  [[nodiscard]] static http::address readinessListener(std::size_t Node);
  [[nodiscard]] static http::address peersListener(std::size_t Node);
  [[nodiscard]] system_test::process &processOf(std::size_t Node);
  [[nodiscard]] tcp_proxy &callersLink(std::size_t Node);
  [[nodiscard]] tcp_proxy &storeLink(std::size_t Node);
  [[nodiscard]] tcp_proxy &vmListLink(std::size_t Node);
  /** @return File with the output of the node's processes. */
  [[nodiscard]] std::filesystem::path logFile(std::size_t Node) const;
  /** @return Number of the node's current process, from 1. */
  [[nodiscard]] std::uint64_t incarnation(std::size_t Node) const;

  void kill(std::size_t Node);
  /** @brief SIGTERM; SIGKILL follows after the grace time. */
  void terminate(std::size_t Node);
  void hangUp(std::size_t Node);
  /** @brief Stops the process by SIGSTOP for the duration. */
  void pause(std::size_t Node, duration Duration);
  /** @brief Continues paused processes and restarts ended ones when due; to be
   * called often. */
  void update();

  /** Processes that ended by themselves. */
  std::vector<std::string> Violations;

private:
  struct node {
    std::string Name;
    std::unique_ptr<tcp_proxy> CallersLink;
    std::unique_ptr<tcp_proxy> StoreLink;
    std::unique_ptr<tcp_proxy> VmListLink;
    std::unique_ptr<system_test::process> Process;
    std::uint64_t Incarnation{0};
    time_point StartedAt;
    /** When an ended process is restarted or a paused one continued;
     * `NoDeadline` while running. */
    time_point ResumeAt{NoDeadline};
    /** When a terminated process is killed; `NoDeadline` while running. */
    time_point KillAt{NoDeadline};
    bool Paused{false};
    bool Killed{false};
  };

  void start(node &Node);
  void sendKill(node &Node);
  void onEnded(node &Node);
  /** @return Whether a signal that was sent explains the end of the process. */
  [[nodiscard]] static bool endExplained(node &Node);

  http::loop &Loop;
  disruption_log &Disruptions;
  std::filesystem::path Directory;
  std::vector<node> Nodes;
};

} // namespace galenalink::soak

#endif
