#include "soak/config_operator.hpp"

namespace galenalink::soak {

namespace {

using nlohmann::json;

constexpr duration Millisecond = std::chrono::milliseconds{1};
constexpr duration QueryInterval = 150 * Millisecond;
constexpr duration ClientTimeout = 3000 * Millisecond;
/** One query of so many uses the route of the version before. */
constexpr std::uint64_t OlderEvery = 4;

std::string routePath(const std::uint64_t Version) {
  return "/only-" + std::to_string(Version) + "/";
}

/** The HTTP client sends the address that it connects to as `Host`; the routes
 * must name the same host. */
json route(const std::string &Name, const std::string &Path,
           const std::string &Service) {
  return {{"name", Name},       {"host", "127.0.0.1"}, {"pathPrefix", Path},
          {"service", Service}, {"stretchFactor", 4},  {"sloMs", 4000}};
}

} // namespace

config_operator::config_operator(http::loop &Loop, store_standin &Store,
                                 node_group &Nodes,
                                 const disruption_log &Disruptions,
                                 options Options)
    : Loop{Loop}, Store{Store}, Nodes{Nodes}, Disruptions{Disruptions},
      Options{std::move(Options)}, Client{Loop, {}}, Random{
                                                         this->Options.Seed} {}

std::uint64_t config_operator::randomBelow(const std::uint64_t Below) {
  return std::uniform_int_distribution<std::uint64_t>{0, Below - 1}(Random);
}

void config_operator::publish() {
  const std::uint64_t Version =
      (Sent.empty() ? 0 : Sent.back().Number) + 1 + randomBelow(4);
  json Routes = json::array();
  json Services = json::array();
  for (const auto &Queue : Options.Queues) {
    Routes.push_back(route(Queue, "/" + Queue + "/", Queue));
    Routes.back()["maxAttempts"] = Options.MaxAttempts;
    Routes.back()["timeoutMs"] = 2500 + randomBelow(1000);
    Services.push_back({{"name", Queue}});
  }
  Routes.push_back(route("only-" + std::to_string(Version), routePath(Version),
                         Options.Queues.front()));
  Services.push_back({{"name", "spare"}, {"standby", true}});
  Store.put(
      "keyed.op", "config",
      json{{"version", Version}, {"routes", Routes}, {"services", Services}}
          .dump());
  Sent.push_back({Version, boot_clock::now()});
}

void config_operator::start() {
  States.resize(Nodes.size());
  publishLater();
  QueryTimer = Loop.every(QueryInterval, [this] { queryNodes(); });
}

void config_operator::publishLater() {
  const duration Delay = (500 + randomBelow(5500)) * Millisecond;
  PublishTimer = Loop.at(boot_clock::now() + Delay, [this] {
    publish();
    publishLater();
  });
}

void config_operator::queryNodes() {
  for (std::size_t I = 0; I < Nodes.size(); ++I) {
    query Query{I, Nodes.incarnation(I), Sent.size() - 1, boot_clock::now()};
    if (Sent.size() > 1 && randomBelow(OlderEvery) == 0)
      --Query.Version;
    http::request Request;
    Request.Path = routePath(Sent[Query.Version].Number);
    Client.send(Nodes.callersAddress(I), std::move(Request),
                Query.SentAt + ClientTimeout,
                [this, Query](const http::answer &Answer) {
                  const auto *Response = std::get_if<http::response>(&Answer);
                  onAnswered(Query, Response == nullptr ? 0 : Response->Status);
                });
  }
}

void config_operator::onAnswered(const query &Query, const int Status) {
  if (Query.Incarnation != Nodes.incarnation(Query.Node))
    return;
  const sent_version &Version = Sent[Query.Version];
  const bool IsNewest = Query.Version + 1 == Sent.size();
  if (Status == 404 && IsNewest) {
    checkOldVersion(Query, Query.Version);
    return;
  }
  if (Status != 200)
    return;
  Confirmations += IsNewest ? 1 : 0;
  if (!IsNewest)
    checkOldVersion(Query, Query.Version + 1);
  node_state &State = States[Query.Node];
  if (State.Incarnation != Query.Incarnation)
    State = {Query.Incarnation, 0, {}};
  if (Version.Number > State.Version)
    State = {Query.Incarnation, Version.Number, boot_clock::now()};
}

/** @param Below Index of a version; an older one was in force for the query. */
void config_operator::checkOldVersion(const query &Query,
                                      const std::uint64_t Below) {
  const sent_version &Due = Sent[Below];
  const std::string What = "node " + std::to_string(Query.Node) +
                           ": older version than " +
                           std::to_string(Due.Number) + " in force ";
  const time_point Now = boot_clock::now();
  if (Query.SentAt > Due.SentAt + bounds::ConfigApply &&
      Disruptions.calm(Query.SentAt, Now))
    Violations.push_back(
        What + std::to_string((Query.SentAt - Due.SentAt) / Millisecond) +
        " ms after it was stored");
  const node_state &State = States[Query.Node];
  if (State.Incarnation == Query.Incarnation && State.Version >= Due.Number &&
      Query.SentAt > State.SeenAt + bounds::Rollback)
    Violations.push_back(What + "after the same process had served " +
                         std::to_string(State.Version));
}

} // namespace galenalink::soak
