#ifndef GALENALINK_TEST_SOAK_CONFIG_OPERATOR_HPP
#define GALENALINK_TEST_SOAK_CONFIG_OPERATOR_HPP

#include "galenalink/http/client.hpp"
#include "soak/disruption_log.hpp"
#include "soak/node_group.hpp"
#include "soak/store_standin.hpp"
#include <nlohmann/json.hpp>
#include <random>

namespace galenalink::soak {

/**
 * @brief Changes the configuration and queries each node to see which version
 * is in force. Each version has a route of its own that no other has.
 */
class config_operator {
public:
  struct options {
    std::vector<std::string> Queues;
    std::size_t MaxAttempts{0};
    std::uint64_t Seed{0};
  };

  config_operator(http::loop &Loop, store_standin &Store, node_group &Nodes,
                  const disruption_log &Disruptions, options Options);

  /** @brief Writes the next version. */
  void publish();
  /** @brief Starts to change the configuration and to query the nodes. */
  void start();
  [[nodiscard]] std::size_t versions() const noexcept { return Sent.size(); }
  /** @return Answers that show a node with the newest version in force. */
  [[nodiscard]] std::size_t confirmations() const noexcept {
    return Confirmations;
  }
  /** Nodes with an old version in force, or back at one. */
  std::vector<std::string> Violations;

private:
  struct sent_version {
    std::uint64_t Number{0};
    time_point SentAt;
  };
  /** Highest version seen in force at the node's present process. */
  struct node_state {
    std::uint64_t Incarnation{0};
    std::uint64_t Version{0};
    time_point SeenAt;
  };
  struct query {
    std::size_t Node{0};
    std::uint64_t Incarnation{0};
    std::size_t Version{0};
    time_point SentAt;
  };

  void publishLater();
  void queryNodes();
  void onAnswered(const query &Query, int Status);
  void checkOldVersion(const query &Query, std::uint64_t Below);
  std::uint64_t randomBelow(std::uint64_t Below);

  http::loop &Loop;
  store_standin &Store;
  node_group &Nodes;
  const disruption_log &Disruptions;
  options Options;
  http::client Client;
  std::mt19937_64 Random;
  std::vector<sent_version> Sent;
  std::vector<node_state> States;
  std::size_t Confirmations{0};
  http::timer PublishTimer;
  http::timer QueryTimer;
};

} // namespace galenalink::soak

#endif
