#include "soak/steady_clients.hpp"
#include "soak/malformed_input.hpp"

namespace galenalink::soak {

namespace {

constexpr duration Millisecond = std::chrono::milliseconds{1};
constexpr duration RequestInterval = 60 * Millisecond;
constexpr duration ClientTimeout = 3000 * Millisecond;
/** One request of so many submits a malformed body. */
constexpr std::uint64_t MalformedEvery = 40;

} // namespace

steady_clients::steady_clients(http::loop &Loop, node_group &Nodes,
                               const disruption_log &Disruptions,
                               std::function<std::string()> NextPath,
                               const std::uint64_t Seed)
    : Loop{Loop}, Nodes{Nodes},
      Disruptions{Disruptions}, NextPath{std::move(NextPath)}, Random{Seed} {
  http::client_options Options;
  Options.MaxConnections = 1;
  Options.IdleTimeout = std::chrono::seconds{60};
  for (std::size_t I = 0; I < Nodes.size(); ++I)
    Clients.push_back({std::make_unique<http::client>(Loop, Options), {}});
}

void steady_clients::start() {
  for (std::size_t I = 0; I < Clients.size(); ++I)
    send(I);
}

void steady_clients::send(const std::size_t Node) {
  http::request Request;
  Request.Path = NextPath();
  if (Random() % MalformedEvery == 0) {
    Request.Method = http::method::Post;
    Request.Body = malformedJobBodies()[Random() % malformedJobBodies().size()];
  }
  const time_point Now = boot_clock::now();
  Clients[Node].Client->send(
      Nodes.callersAddress(Node), std::move(Request), Now + ClientTimeout,
      [this, Node, Now](const http::answer &Answer) {
        onAnswered(Node, Answer, Now);
        Clients[Node].Timer = Loop.at(boot_clock::now() + RequestInterval,
                                      [this, Node] { send(Node); });
      });
}

void steady_clients::onAnswered(const std::size_t Node,
                                const http::answer &Answer,
                                const time_point SentAt) {
  const auto *Failure = std::get_if<http::failure>(&Answer);
  const time_point Now = boot_clock::now();
  if (Failure == nullptr || Failure->Delivery == http::delivery::NotSent ||
      Now - SentAt <= bounds::LossSlack || Now >= SentAt + ClientTimeout)
    return;
  if (Disruptions.calmButForPlannedWork(SentAt, Now))
    Violations.push_back("connection to node " + std::to_string(Node) +
                         " ended without an answer to a request sent " +
                         std::to_string((Now - SentAt) / Millisecond) +
                         " ms before");
}

} // namespace galenalink::soak
