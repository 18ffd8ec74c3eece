#ifndef GALENALINK_TEST_SOAK_STEADY_CLIENTS_HPP
#define GALENALINK_TEST_SOAK_STEADY_CLIENTS_HPP

#include "galenalink/http/client.hpp"
#include "soak/disruption_log.hpp"
#include "soak/node_group.hpp"
#include <functional>
#include <random>

namespace galenalink::soak {

/** @brief One client for each node that keeps its connection open and uses it
 * until the node closes it. */
class steady_clients {
public:
  /** @param NextPath Returns the path of the next query. */
  steady_clients(http::loop &Loop, node_group &Nodes,
                 const disruption_log &Disruptions,
                 std::function<std::string()> NextPath, std::uint64_t Seed);

  void start();
  /** Requests that planned work has left without an answer. */
  std::vector<std::string> Violations;

private:
  struct steady_client {
    std::unique_ptr<http::client> Client;
    http::timer Timer;
  };
  void send(std::size_t Node);
  void onAnswered(std::size_t Node, const http::answer &Answer,
                  time_point SentAt);

  http::loop &Loop;
  node_group &Nodes;
  const disruption_log &Disruptions;
  std::function<std::string()> NextPath;
  std::mt19937_64 Random;
  std::vector<steady_client> Clients;
};

} // namespace galenalink::soak

#endif
