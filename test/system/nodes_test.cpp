#include "system/judge.hpp"
#include <algorithm>
#include <csignal>

using namespace galenalink;
using namespace galenalink::system_test;
using std::chrono::seconds;

namespace {

/** @brief Kills a node; callers notice it by themselves. */
void killNode(member_node &Node) { Node.Process->kill(); }

} // namespace

BOOST_AUTO_TEST_SUITE(nodes)

/** Guards against requests that a killed home loses or a new home repeats. */
BOOST_AUTO_TEST_CASE(killed_under_load) {
  cluster Cluster;
  callers Callers{Cluster, {}};
  Callers.start();
  BOOST_TEST(Callers.awaitMore(Enough));
  killNode(Cluster.homeOf("vm-1"));
  BOOST_TEST(Cluster.await([&] { return Cluster.settled(3); }, seconds{10}));
  BOOST_TEST(Callers.awaitMore(Enough));
  judge(Cluster, Callers);
}

/** Guards against accepted long work that is forgotten with its home. */
BOOST_AUTO_TEST_CASE(killed_after_accepting_long_work) {
  cluster Cluster;
  callers Callers{Cluster, {}};
  constexpr std::size_t Works = 8;
  for (std::size_t Each = 0; Each < Works; ++Each)
    Callers.issue("archive", 2500);
  const auto Accepted = [&] {
    return std::ranges::all_of(Callers.all(), &asked::Accepted);
  };
  BOOST_TEST(Cluster.await(Accepted, seconds{5}));
  killNode(Cluster.homeOf("vm-1"));
  judge(Cluster, Callers);
  BOOST_TEST(Callers.count("complete") == Works);
}

/** Guards against state that survives the first loss only: the second node is
 * killed as soon as the first one is off the roster, during the takeover. */
BOOST_AUTO_TEST_CASE(two_killed_one_after_another) {
  cluster Cluster{{.Nodes = 5}};
  callers Callers{Cluster, {}};
  Callers.start();
  BOOST_TEST(Callers.awaitMore(Enough));
  killNode(Cluster.homeOf("vm-1"));
  BOOST_TEST(Cluster.await([&] { return Cluster.rosterIs(4); }, seconds{10}));
  killNode(Cluster.homeOf("vm-1"));
  BOOST_TEST(Cluster.await([&] { return Cluster.settled(3); }, seconds{15}));
  BOOST_TEST(Callers.awaitMore(Enough));
  judge(Cluster, Callers);
}

/** Guards against a home that acts on old authority after a pause. */
BOOST_AUTO_TEST_CASE(paused_and_continued) {
  cluster Cluster;
  callers Callers{Cluster, {}};
  Callers.start();
  BOOST_TEST(Callers.awaitMore(Enough));
  auto &Node = Cluster.homeOf("vm-1");
  const auto Continue = boot_clock::now() + seconds{6};
  Node.Process->signal(SIGSTOP);
  Node.Paused = true;
  BOOST_TEST(Cluster.await([&] { return Cluster.rosterIs(3); }, seconds{5}));
  Node.InUse = false;
  BOOST_TEST(Callers.awaitMore(Enough));
  static_cast<void>(
      Cluster.await([&] { return boot_clock::now() >= Continue; }, seconds{7}));
  Node.Process->signal(SIGCONT);
  Node.Paused = false;
  Node.InUse = true;
  BOOST_TEST(Cluster.await([&] { return Cluster.settled(4); }, seconds{10}));
  BOOST_TEST(Callers.awaitMore(Enough));
  judge(Cluster, Callers);
}

/** Guards against a planned stop that cuts requests in progress. */
BOOST_AUTO_TEST_CASE(stopped_and_replaced_in_turn) {
  cluster Cluster;
  callers Callers{Cluster, {}};
  Callers.start();
  for (std::size_t Each = 0; Each < 4; ++Each) {
    BOOST_TEST(Callers.awaitMore(Enough));
    auto &Node = *Cluster.Nodes[Each];
    Node.Process->signal(SIGTERM);
    const auto Unhealthy = [&] {
      const auto Health =
          Cluster.ask(Node.Callers, http::method::Get, "/health");
      return !Health || Health->Status != 200;
    };
    BOOST_TEST(Cluster.await(Unhealthy, seconds{3}));
    Node.InUse = false;
    BOOST_TEST(
        Cluster.await([&] { return Node.Process->ended(); }, seconds{10}));
    BOOST_TEST(Node.Process->succeeded());
    Cluster.startNode(Node.DataCentre);
    BOOST_TEST(Cluster.await([&] { return Cluster.settled(4); }, seconds{10}));
  }
  judge(Cluster, Callers);
  BOOST_TEST(Callers.broken() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
