#include "soak/node_group.hpp"
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace galenalink::soak {

namespace {

// Each node has an address of its own, so all can use the same ports.
constexpr std::uint16_t CallersPort = 8624;
constexpr std::uint16_t ReadinessPort = 8622;
constexpr std::uint16_t PeersPort = 8623;
constexpr duration RestartDelay = std::chrono::milliseconds{300};

/** @return Loopback address of a node. No other process binds it: the ports of
 * a node that is down would otherwise be taken by outgoing connections. */
std::string hostOf(const std::size_t Node) {
  const auto Process = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(1 + Process / 250 % 250) + "." +
         std::to_string(Process % 250) + "." + std::to_string(1 + Node);
}

} // namespace

node_group::node_group(http::loop &Loop, disruption_log &Disruptions)
    : Loop{Loop}, Disruptions{Disruptions},
      Directory{std::filesystem::temp_directory_path() /
                ("galenalink-soak-" + std::to_string(::getpid()))} {
  std::filesystem::create_directories(Directory);
}

node_group::~node_group() {
  for (auto &Node : Nodes)
    Node.Process->kill();
  if (std::getenv("SOAK_KEEP_LOGS") == nullptr)
    std::filesystem::remove_all(Directory);
}

void node_group::add(const http::address &Store, const http::address &VmList,
                     const nlohmann::json &Overrides) {
  node Node;
  Node.Name = "node-" + std::to_string(Nodes.size());
  const std::string Host = hostOf(Nodes.size());
  const http::address Callers{Host, CallersPort};
  Node.CallersLink = std::make_unique<tcp_proxy>(Loop, Callers);
  Node.StoreLink = std::make_unique<tcp_proxy>(Loop, Store);
  Node.VmListLink = std::make_unique<tcp_proxy>(Loop, VmList);
  nlohmann::json Settings{
      {"name", Node.Name},
      {"data_centre", "north"},
      {"callers", toString(Callers)},
      {"readiness", Host + ":" + std::to_string(ReadinessPort)},
      {"peers", {{"host", Host}, {"port", PeersPort}}},
      {"store", toString(Node.StoreLink->address())},
      {"vm_list", toString(Node.VmListLink->address())},
      {"stop_deadline_s",
       std::chrono::duration_cast<std::chrono::seconds>(bounds::Grace).count()},
      {"move_s", 0.5},
      {"maintenance_s", 0.5}};
  Settings.update(Overrides);
  std::ofstream{Directory / (Node.Name + ".json")} << Settings.dump();
  start(Node);
  Nodes.push_back(std::move(Node));
}

void node_group::start(node &Node) {
  ++Node.Incarnation;
  Node.StartedAt = boot_clock::now();
  Node.ResumeAt = NoDeadline;
  Node.KillAt = NoDeadline;
  Node.Killed = false;
  Node.Process = std::make_unique<system_test::process>(
      std::vector<std::string>{GALENALINKD, "on-platform", "--settings",
                               (Directory / (Node.Name + ".json")).string()},
      (Directory / (Node.Name + ".log")).string());
}

std::filesystem::path node_group::logFile(const std::size_t Node) const {
  return Directory / (Nodes.at(Node).Name + ".log");
}

http::address node_group::callersAddress(const std::size_t Node) const {
  return Nodes.at(Node).CallersLink->address();
}

http::address node_group::callersListener(const std::size_t Node) {
  return {hostOf(Node), CallersPort};
}

http::address node_group::readinessListener(const std::size_t Node) {
  return {hostOf(Node), ReadinessPort};
}

http::address node_group::peersListener(const std::size_t Node) {
  return {hostOf(Node), PeersPort};
}

system_test::process &node_group::processOf(const std::size_t Node) {
  return *Nodes.at(Node).Process;
}

tcp_proxy &node_group::callersLink(const std::size_t Node) {
  return *Nodes.at(Node).CallersLink;
}

tcp_proxy &node_group::storeLink(const std::size_t Node) {
  return *Nodes.at(Node).StoreLink;
}

tcp_proxy &node_group::vmListLink(const std::size_t Node) {
  return *Nodes.at(Node).VmListLink;
}

std::uint64_t node_group::incarnation(const std::size_t Node) const {
  return Nodes.at(Node).Incarnation;
}

void node_group::kill(const std::size_t Node) {
  Disruptions.add(RestartDelay);
  sendKill(Nodes.at(Node));
}

void node_group::sendKill(node &Node) {
  Node.Killed = true;
  Node.Process->signal(SIGKILL);
}

void node_group::terminate(const std::size_t Node) {
  node &Terminated = Nodes.at(Node);
  if (Terminated.KillAt != NoDeadline)
    return;
  Disruptions.add(duration::zero(), disruption_kind::Planned);
  Terminated.KillAt = boot_clock::now() + bounds::Grace;
  Terminated.Process->signal(SIGTERM);
}

void node_group::hangUp(const std::size_t Node) {
  Disruptions.add(duration::zero(), disruption_kind::Planned);
  Nodes.at(Node).Process->signal(SIGHUP);
}

void node_group::pause(const std::size_t Node, const duration Duration) {
  node &Paused = Nodes.at(Node);
  if (Paused.Paused || Paused.ResumeAt != NoDeadline)
    return;
  Disruptions.add(Duration);
  Paused.Process->signal(SIGSTOP);
  Paused.Paused = true;
  Paused.ResumeAt = boot_clock::now() + Duration;
}

void node_group::update() {
  const time_point Now = boot_clock::now();
  for (auto &Node : Nodes) {
    if (Node.Paused && (Now >= Node.ResumeAt || Node.Process->ended())) {
      Node.Process->signal(SIGCONT);
      Node.Paused = false;
      Node.ResumeAt = NoDeadline;
    }
    if (Node.KillAt != NoDeadline && Now >= Node.KillAt) {
      sendKill(Node);
      Node.KillAt = NoDeadline;
    }
    if (!Node.Paused && Node.Process->ended())
      onEnded(Node);
  }
}

bool node_group::endExplained(node &Node) {
  if (Node.Killed)
    return true;
  if (Node.KillAt != NoDeadline)
    return Node.Process->succeeded() || Node.Process->endedBy(SIGTERM);
  // No process can ignore a signal before its first instruction.
  return Node.Process->endedBy(SIGHUP) &&
         boot_clock::now() < Node.StartedAt + bounds::OwnEnd;
}

void node_group::onEnded(node &Node) {
  const time_point Now = boot_clock::now();
  const bool Terminated = !Node.Killed && Node.KillAt != NoDeadline;
  if (Node.ResumeAt == NoDeadline) {
    Node.ResumeAt = Now + RestartDelay;
    if (!endExplained(Node))
      Violations.push_back("process ended by itself: " + Node.Name +
                           " number " + std::to_string(Node.Incarnation));
  }
  if (Now < Node.ResumeAt)
    return;
  Disruptions.add(duration::zero(), Terminated ? disruption_kind::Planned
                                               : disruption_kind::Unplanned);
  start(Node);
}

} // namespace galenalink::soak
