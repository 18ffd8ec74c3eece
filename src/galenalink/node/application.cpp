#include "galenalink/node/application.hpp"
#include "galenalink/core/random.hpp"
#include "galenalink/platform/http_adapter.hpp"
#include "galenalink/telemetry/log.hpp"
#include "peer.pb.h"
#include <algorithm>
#include <fstream>
#include <sstream>
#include <sys/resource.h>

namespace galenalink::node {

namespace {

constexpr telemetry::logger Log{"node"};

constexpr duration ConnectionMetricsPeriod = std::chrono::seconds{1};
constexpr duration SupervisionPeriod = std::chrono::milliseconds{50};
/** Health answers "stopping" this long before the listener closes, so that
 * the balancer sends no request to a closed port. */
constexpr duration HealthNotice = std::chrono::milliseconds{500};

[[nodiscard]] result<std::string> readToken(const std::string &File) {
  if (File.empty())
    return std::string{};
  std::ifstream Input{File};
  std::string Token;
  if (!Input || !std::getline(Input, Token) || Token.empty())
    return fail(errc::BadInput, "no token can be read from " + File);
  return Token;
}

/** Parts of the process's descriptors that listeners may use. The others are
 * for calls to backend servers, peers and the platform. */
constexpr std::size_t CallersDivisor = 2;
constexpr std::size_t OperatorsDivisor = 8;

[[nodiscard]] http::server_options listenerOptions(std::string Name,
                                                   const std::size_t Divisor) {
  http::server_options Options;
  Options.Name = std::move(Name);
  rlimit Descriptors{};
  if (getrlimit(RLIMIT_NOFILE, &Descriptors) == 0)
    Options.MaxConnections = std::min<std::size_t>(
        Options.MaxConnections, Descriptors.rlim_cur / Divisor);
  return Options;
}

} // namespace

result<secrets> readSecrets(const config::settings &Settings) {
  BOOST_LEAF_AUTO(Operators, readToken(Settings.Operators.TokenFile));
  BOOST_LEAF_AUTO(Peers, readToken(Settings.Peers.TokenFile));
  return secrets{std::move(Operators), std::move(Peers)};
}

application::application(http::loop &Loop, config::settings SettingsIn,
                         secrets SecretsIn)
    : Loop{Loop}, Settings{std::move(SettingsIn)},
      Secrets{std::move(SecretsIn)}, Client{Loop, {}}, Backend{Client} {}

application::~application() = default;

environment application::environmentOf() {
  return {Loop, Settings, Adapter, Backend, Metrics, Decisions};
}

result<void> application::start() {
  if (Settings.Platform.Kind == config::platform_kind::Http) {
    BOOST_LEAF_ASSIGN(PlatformAddress,
                      http::parseAddress(Settings.Platform.Address));
  }
  Adapter = makeAdapter();
  Callers = std::make_unique<caller_api>(
      caller_hooks{[this](call Call, reply_hook Done) {
                     route(std::move(Call), std::move(Done));
                   },
                   [this](const call &Call) { return defaultTimeout(Call); },
                   [this] { return !Stopping && Current->serving(); },
                   [this] { return Current->ready(); }});
  Operators = std::make_unique<operator_api>(
      [this]() -> incarnation & { return *Current; }, environmentOf(),
      Secrets.Operators);
  const node_id Self{randomId()};
  makeTransport(Self);
  if (auto Opened = openListeners(); !Opened)
    return Opened.error();
  makeIncarnation(Self);
  Supervisor = Loop.every(SupervisionPeriod, [this] { supervise(); });
  ConnectionCounter =
      Loop.every(ConnectionMetricsPeriod, [this] { countConnections(); });
  return {};
}

result<void> application::openListeners() {
  CallerServer = std::make_unique<http::server>(
      Loop, listenerOptions("callers", CallersDivisor),
      [this](http::exchange Exchange) {
        Callers->handle(std::move(Exchange));
      });
  OperatorServer = std::make_unique<http::server>(
      Loop, listenerOptions("operators", OperatorsDivisor),
      [this](http::exchange Exchange) {
        Operators->handle(std::move(Exchange));
      });
  BOOST_LEAF_ASSIGN(CallerPort, CallerServer->listen(Settings.Callers.Host,
                                                     Settings.Callers.Port));
  BOOST_LEAF_ASSIGN(
      OperatorPort,
      OperatorServer->listen(Settings.Operators.Host, Settings.Operators.Port));
  BOOST_LEAF_ASSIGN(PeerPort,
                    Peers->listen({Settings.Peers.Host, Settings.Peers.Port}));
  Log.info("Listening.", {{"callers", CallerPort},
                          {"operators", OperatorPort},
                          {"peers", PeerPort}});
  return {};
}

void application::makeTransport(const node_id Self) {
  peer::options Options;
  Options.Self = Self;
  Options.Token = Secrets.Peers;
  Options.HeartbeatInterval = std::chrono::milliseconds{Settings.HeartbeatMs};
  peer::hooks Hooks;
  Hooks.MakeHeartbeat = [this] { return Current->heartbeat(); };
  Hooks.AnswerOffset = [this] { return Current->answerOffset(); };
  Peers = std::make_unique<peer::transport>(Loop, std::move(Options),
                                            std::move(Hooks));
  Peers->Received.connect(
      [this](const node_id From, const wire::peer_message &Message) {
        Current->received(From, Message);
      });
  Peers->Connected.connect(
      [this](const node_id Node) { Current->connected(Node); });
  Peers->Disconnected.connect(
      [this](const node_id Node) { Current->disconnected(Node); });
  Peers->HeartbeatAnswered.connect(
      [this](const node_id Node, const peer::evidence &Evidence) {
        Current->answered(Node, Evidence.SentAt, Evidence.Folded);
      });
  Peers->Problem.connect([](const std::string &Text) {
    Log.warning("A peer connection failed.", {{"cause", Text}});
  });
}

void application::updateTargets() {
  const auto &Roster = Current->view().State.Roster;
  if (Roster.version() == DialedVersion && DialedVersion != 0)
    return;
  DialedVersion = Roster.version();
  std::vector<peer::target> Targets;
  const auto Add = [&](const std::string &Address,
                       const std::optional<node_id> Node) {
    static_cast<void>(tryOr(
        [&]() -> result<bool> {
          BOOST_LEAF_AUTO(Parsed, http::parseAddress(Address));
          Targets.push_back({Parsed, Node});
          return true;
        },
        [](const error &Error) {
          Log.warning("Skipped a peer address.", {{"cause", Error.Message}});
          return false;
        }));
  };
  for (const auto &Node : Roster.nodes()) {
    if (Node->Id != Current->self())
      Add(Node->PeerAddress, Node->Id);
  }
  for (const auto &Seed : Settings.Seeds)
    Add(Seed, std::nullopt);
  Peers->setTargets(Targets);
}

void application::countTraffic() {
  const auto &Counters = Peers->counters();
  Metrics
      .level("galenalink_peer_control_sent_bytes",
             "Bytes of hellos, heartbeats and their replies that were sent.")
      .set(static_cast<double>(Counters.ControlSent));
  Metrics
      .level("galenalink_peer_sent_bytes",
             "Bytes that were sent to other nodes.")
      .set(static_cast<double>(Counters.Sent));
}

void application::countConnections() {
  ServerMetrics.update(Metrics, *CallerServer);
  ServerMetrics.update(Metrics, *OperatorServer);
}

void application::makeIncarnation(const node_id Id) {
  const auto Address = [](const std::string &Host, const std::uint16_t Port) {
    return http::toString({Host, Port});
  };
  node_description Self{Id,
                        Settings.Name,
                        Settings.DataCentre,
                        Settings.Customer,
                        Address(Settings.Peers.Host, PeerPort),
                        Address(Settings.Callers.Host, CallerPort)};
  DialedVersion = 0;
  Current = std::make_unique<incarnation>(
      environmentOf(), std::move(Self),
      [this](const node_id Node, const wire::peer_message &Message) {
        return Peers->send(Node, Message) == peer::send_result::Queued;
      });
  Current->start();
}

platform::adapter application::makeAdapter() {
  if (Settings.Platform.Kind == config::platform_kind::Http)
    return platform::makeHttpAdapter(Client, {PlatformAddress});
  std::vector<platform::vm> Vms;
  for (const auto &Vm : Settings.Platform.Vms)
    Vms.push_back(
        {Vm.Vm, Vm.Customer, Vm.DataCentre, Vm.Rack, Vm.Address, Vm.Pool});
  Embedded = std::make_unique<platform::embedded>(platform::store::options{},
                                                  std::move(Vms));
  return Embedded->makeAdapter([this](std::function<void()> Function) {
    Loop.post(std::move(Function));
  });
}

void application::route(call Call, reply_hook Done) {
  const auto Started = boot_clock::now();
  const std::string Service = Call.Customer + '/' + Call.Service;
  Current->router().route(std::move(Call), [this, Started, Service,
                                            Done =
                                                std::move(Done)](reply Reply) {
    Metrics
        .count("galenalink_requests_total", "Requests of callers by outcome.",
               {{"service", Service},
                {"outcome", std::string{nameOf(OutcomeNames, Reply.Outcome)}},
                {"reason", std::string{nameOf(RefusalNames, Reply.Refusal)}}})
        .add();
    Metrics
        .times("galenalink_request_seconds",
               "Time from a request to its answer.")
        .observe(
            std::chrono::duration<double>(boot_clock::now() - Started).count());
    Done(std::move(Reply));
  });
}

std::optional<duration> application::defaultTimeout(const call &Call) const {
  const auto *Service = Current->catalog().find(Call.Customer, Call.Service);
  if (Service == nullptr)
    return std::nullopt;
  constexpr duration QueryTimeout = std::chrono::seconds{5};
  if (Call.Operation != operation::Submit)
    return QueryTimeout;
  const auto *Queue = Service->findQueue(Call.Queue);
  if (Queue == nullptr)
    return std::nullopt;
  return std::chrono::milliseconds{Queue->TimeoutMs};
}

void application::stop() {
  if (Stopping) {
    Log.warning("Stopped by a second signal.");
    Loop.stop();
    return;
  }
  Stopping = true;
  const auto Now = boot_clock::now();
  StopDeadline = Now + std::chrono::milliseconds{Settings.StopDeadlineMs};
  CloseAt = Now + HealthNotice;
  Log.info("Stopping.", {{"waiting", Current->router().pending()}});
}

void application::supervise() {
  const auto Now = boot_clock::now();
  if (!Stopping) {
    if (Current->evicted()) {
      Log.warning("Evicted; joining again under a new id.");
      const node_id Self{randomId()};
      Current->abandon();
      Peers->rename(Self);
      makeIncarnation(Self);
    }
    updateTargets();
    countTraffic();
    return;
  }
  if (CloseAt != NoDeadline && CloseAt <= Now) {
    CloseAt = NoDeadline;
    CallerServer->stopAccepting();
    Current->stop(StopDeadline);
  }
  const bool Idle = CloseAt == NoDeadline && Current->idle() &&
                    CallerServer->openExchanges() == 0;
  if (Idle || StopDeadline <= Now) {
    Log.info("Stopped.", {{"unanswered", CallerServer->openExchanges()}});
    Loop.stop();
  }
}

} // namespace galenalink::node
