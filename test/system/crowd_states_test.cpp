#include "system/crowd_nodes.hpp"
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <sys/resource.h>

// Crowds while the node can't serve them at once: it follows a leader that does
// not answer, the store is down, it is stopping, or other crowds are there.

using namespace galenalink;
using namespace galenalink::system_test;
using nlohmann::json;

namespace {

/** Memory of the machine by the node's settings; the smallest allowed. */
constexpr std::size_t MachineMemoryMb = 64;
constexpr std::size_t Clients = 100;
constexpr std::size_t OrdinaryRequests = 20;
constexpr std::size_t TooManyConnections = 1500;
constexpr duration Long = std::chrono::seconds{20};
/** As many as fit into the bytes that are read without asking for memory. */
constexpr std::size_t StepsOfLargeJob = 600;

json smallMachine() { return {{"memory_mb", MachineMemoryMb}}; }

/** @brief A request that takes much more memory than its bytes: a job of many
 * steps that never start, since no VM has the label of the first one. */
std::string jobOfManySteps(const std::size_t Number) {
  json Steps(StepsOfLargeJob, json{{"count", 1}, {"dependsOn", {0}}});
  Steps[0] = {{"count", 1}, {"requirements", "none"}};
  const std::string Body = json{{"spec", ""}, {"steps", Steps}}.dump();
  return platform_node::jobRequest(Number, Body);
}

/** @return Whether the node answers the query of a job with 200 in time. */
bool servesAgain(platform_node &Node) {
  const time_point End = boot_clock::now() + Long;
  while (boot_clock::now() < End) {
    Node.Run.Nodes.update();
    if (Node.queryStatus() == 200)
      return true;
    Node.Run.pause(std::chrono::milliseconds{100});
  }
  return false;
}

void checkSmallMachine(process &Node) {
  const std::size_t MemoryMb = peakMemoryMb(Node.id());
  BOOST_TEST_MESSAGE(
      boost::unit_test::framework::current_test_case().p_name.get()
      << ": peak memory " << MemoryMb << " MB");
  BOOST_TEST(!Node.ended());
  BOOST_TEST(MemoryMb < MachineMemoryMb);
  BOOST_TEST(openDescriptors(Node.id()) < MaxDescriptors);
}

} // namespace

BOOST_AUTO_TEST_SUITE(crowd_states)

// A follower kept the requests that its leader did not answer, parsed, until
// their deadlines, also after their clients had gone.
BOOST_AUTO_TEST_CASE(leader_does_not_answer) {
  constexpr std::size_t CrowdSize = 400;
  constexpr std::size_t Crowds = 3;
  platform_node Node{smallMachine()};
  auto &Nodes = Node.Run.Nodes;
  Nodes.add(Node.Run.Store.address(), Node.Run.Fleet.listAddress(),
            smallMachine());
  const auto Follower = soak::node_group::callersListener(1);
  BOOST_REQUIRE(Node.loop().runUntil(
      [&] {
        return statusOf(Node.loop(), Follower, get("/crowd/" + Node.JobId),
                        OrdinaryLimit) == 200;
      },
      boot_clock::now() + Long));
  Nodes.processOf(0).signal(SIGSTOP);
  for (std::size_t I = 0; I < Crowds; ++I) {
    crowd Crowd{Node.loop(), Follower, CrowdSize};
    crowd_traffic Traffic;
    Traffic.MaxBytesPerConnection = jobOfManySteps(0).size();
    Traffic.HeadOf = [=](const std::size_t Connection) {
      return jobOfManySteps(I * CrowdSize + Connection);
    };
    Crowd.send(Traffic);
  }
  Nodes.processOf(0).signal(SIGCONT);
  checkSmallMachine(Nodes.processOf(1));
  BOOST_TEST(servesAgain(Node));
  checkSmallMachine(Nodes.processOf(0));
}

// The leader must not keep what it can't store.
BOOST_AUTO_TEST_CASE(store_is_down) {
  platform_node Node{smallMachine()};
  Node.Run.Nodes.storeLink(0).setFault(soak::link_fault::Silent);
  std::size_t Sent = 0;
  {
    const repeating_clients Crowd{Node.loop(), platform_node::callers(),
                                  Clients,
                                  [&] { return jobOfManySteps(++Sent); }};
    Node.Run.pause(std::chrono::seconds{5});
    BOOST_TEST(Node.queryStatus() != 0);
  }
  Node.Run.Nodes.storeLink(0).setFault(soak::link_fault::None);
  checkSmallMachine(Node.nodeProcess());
  BOOST_TEST(servesAgain(Node));
}

// Clients that hold connections or go on sending must not keep a process from
// ending after SIGTERM.
BOOST_AUTO_TEST_CASE(node_is_stopping) {
  platform_node Node{smallMachine()};
  crowd Idle{Node.loop(), platform_node::callers(), Clients};
  crowd Pipelining{Node.loop(), platform_node::callers(), Clients};
  crowd_traffic Traffic;
  Traffic.Repeated = get("/crowd/" + Node.JobId);
  Traffic.MaxBytesPerConnection = Megabyte;
  Pipelining.send(Traffic);
  const repeating_clients Malformed{
      Node.loop(), platform_node::callers(), Clients,
      [] { return std::string{"GET / HTTP/1.1\r\nno colon\r\n\r\n"}; }};
  process &Process = Node.nodeProcess();
  checkSmallMachine(Process);
  Process.signal(SIGTERM);
  BOOST_TEST(Node.loop().runUntil([&] { return Process.ended(); },
                                  boot_clock::now() + Long));
  BOOST_TEST(Process.succeeded());
}

// Ordinary requests are answered while crowds of several kinds go on.
BOOST_AUTO_TEST_CASE(several_crowds_at_once) {
  platform_node Node{smallMachine()};
  crowd Pipelining{Node.loop(), platform_node::callers(), Clients};
  crowd_traffic Traffic;
  Traffic.Repeated = get("/none");
  Traffic.MaxBytesPerConnection = Megabyte;
  Pipelining.send(Traffic);
  crowd Bodies{Node.loop(), platform_node::callers(), Clients};
  crowd_traffic Incomplete;
  Incomplete.Head =
      post("/crowd/0000000000000002", platform_node::MaxBodyBytes);
  Incomplete.Repeated = std::string(64 * Kilobyte, 'x');
  Incomplete.MaxBytesPerConnection =
      Incomplete.Head.size() + platform_node::MaxBodyBytes - 1;
  Bodies.send(Incomplete);
  const repeating_clients Malformed{
      Node.loop(), platform_node::callers(), Clients,
      [] { return post("/none", 2 * platform_node::MaxBodyBytes); }};
  std::size_t Sent = 0;
  const repeating_clients Unknown{
      Node.loop(), platform_node::callers(), Clients, [&Sent] {
        return "GET /" + std::to_string(++Sent) +
               " HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n";
      }};
  for (std::size_t I = 0; I < OrdinaryRequests; ++I)
    BOOST_TEST(Node.queryStatus() == 200);
  checkSmallMachine(Node.nodeProcess());
}

// What clients choose, such as paths, hosts and keys, must not make the log or
// the metrics grow without bound.
BOOST_AUTO_TEST_CASE(log_and_metrics_stay_small) {
  constexpr std::size_t Requests = 20000;
  constexpr std::size_t MaxMetricsBytes = 64 * Kilobyte;
  /** A tenth of the lines that one for each request would give. */
  constexpr std::size_t MaxLogBytes = Requests / 10 * 500;
  platform_node Node{smallMachine()};
  std::size_t Sent = 0;
  repeating_clients Crowd{Node.loop(), platform_node::callers(), Clients,
                          [&Sent] {
                            const std::string Number = std::to_string(++Sent);
                            return "GET /" + Number + " HTTP/1.1\r\nHost: h" +
                                   Number + "\r\nAuthorization: Bearer " +
                                   Number + "\r\nConnection: close\r\n\r\n";
                          }};
  BOOST_TEST(Crowd.awaitEnded(Requests, std::chrono::seconds{60}));
  const std::string Metrics = responseTo(
      Node.loop(), platform_node::readiness(),
      "GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
      OrdinaryLimit);
  const auto LogBytes = std::filesystem::file_size(Node.Run.Nodes.logFile(0));
  BOOST_TEST_MESSAGE("metrics " << Metrics.size() << " bytes, log " << LogBytes
                                << " bytes");
  BOOST_TEST(Metrics.size() > 0U);
  BOOST_TEST(Metrics.size() < MaxMetricsBytes);
  BOOST_TEST(LogBytes < MaxLogBytes);
  BOOST_TEST(Node.queryStatus() == 200);
  checkSmallMachine(Node.nodeProcess());
}

// Clients that hold all connections of the listeners must leave descriptors for
// calls to backend servers and the store.
BOOST_AUTO_TEST_CASE(all_listeners_are_full) {
  constexpr std::size_t Descriptors = 512;
  constexpr std::size_t CrowdSize = 400;
  json Settings = smallMachine();
  Settings["max_descriptors"] = Descriptors;
  platform_node Node{Settings};
  const rlimit Limit{Descriptors, Descriptors};
  BOOST_REQUIRE(
      prlimit(Node.nodeProcess().id(), RLIMIT_NOFILE, &Limit, nullptr) == 0);
  const crowd Callers{Node.loop(), platform_node::callers(), CrowdSize};
  const crowd Peers{Node.loop(), platform_node::peers(), CrowdSize};
  const crowd Readiness{Node.loop(), platform_node::readiness(), CrowdSize};
  const std::string Job = "0000000000000002";
  BOOST_TEST(Node.Run.submit(Job, 1, 1000, 60000));
  BOOST_TEST(Node.Run.runs(Job));
  BOOST_TEST(Node.queryStatus() == 200);
  BOOST_TEST(openDescriptors(Node.nodeProcess().id()) < Descriptors);
  checkSmallMachine(Node.nodeProcess());
}

// The listener for other nodes is not an HTTP listener; anyone may connect.
BOOST_AUTO_TEST_CASE(strangers_at_the_peers_transport) {
  constexpr std::size_t Connections = 5000;
  /** A tenth of the lines that one for each connection would give. */
  constexpr std::size_t MaxLogBytes = Connections / 10 * 200;
  embedded_node Node;
  const auto LogBytes = [&] {
    return std::filesystem::file_size(Node.logFile());
  };
  const auto Before = LogBytes();
  {
    const crowd Silent{Node.loop(), Node.Peers, TooManyConnections};
    repeating_clients Crowd{Node.loop(), Node.Peers, Clients,
                            [] { return get("/not-a-frame"); }};
    BOOST_TEST(Crowd.awaitEnded(Connections, std::chrono::seconds{60}));
    BOOST_TEST(statusOf(Node.loop(), Node.Callers, get("/health"),
                        OrdinaryLimit) == 200);
  }
  BOOST_TEST_MESSAGE("log " << LogBytes() - Before << " bytes");
  BOOST_TEST(LogBytes() - Before < MaxLogBytes);
  checkProcess(Node.nodeProcess());
}

BOOST_AUTO_TEST_SUITE_END()
