#include "soak/blocking_request.hpp"
#include "soak/config_operator.hpp"
#include "soak/fleet_standin.hpp"
#include "soak/node_group.hpp"
#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace galenalink;
using namespace galenalink::soak;
using nlohmann::json;

namespace {

constexpr duration Second = std::chrono::seconds{1};
constexpr duration Millisecond = std::chrono::milliseconds{1};
constexpr duration StepTimeout = 15 * Second;
constexpr duration RequestTimeout = 3 * Second;
/** Between the last start of a process and the disruption, in which leases are
 * renewed and the nodes follow the leader. */
constexpr duration SteadyTime = 2 * Second;
/** Longer than an election, the wait of a new leader and a lease together. */
constexpr duration CutTime = 14 * Second;
/** A lease that was granted 2.5 s after the cut, on the slowest clock. */
constexpr duration LongestLease = 7200 * Millisecond;
constexpr duration SettleTime = 4 * Second;
/** Shorter than a lease. */
constexpr duration StoreOutage = 4 * Second;
constexpr std::uint64_t FleetSeed = 1;
constexpr std::uint64_t OperatorSeed = 2;
constexpr std::size_t MaxAttempts = 3;
constexpr std::size_t VmCount = 2;
/** The node that leads first. */
constexpr std::size_t Leader = 0;
constexpr std::size_t Successor = 1;
const std::string Pool = "press";
const std::string Job = "00000000000000a1";

/** @brief Two nodes, of which the first leads, and two VMs, one job with tasks
 * that last. */
class split_run {
public:
  explicit split_run(const std::size_t TaskCount)
      : Store{Loop}, Fleet{Loop, Store, FleetSeed}, Nodes{Loop, Disruptions},
        Operator{Loop,
                 Store,
                 Nodes,
                 Disruptions,
                 {{Pool}, MaxAttempts, OperatorSeed}},
        Client{Loop, {}} {
    UpdateTimer = Loop.every(20 * Millisecond, [this] { Nodes.update(); });
    Operator.publish();
    for (std::size_t I = 0; I < VmCount; ++I)
      Fleet.addVm(Pool + "-" + std::to_string(I), Pool, false);
    Nodes.add(Store.address(), Fleet.listAddress());
    BOOST_REQUIRE(await([&] { return allVmsHold(1); }));
    BOOST_REQUIRE(await([&] { return submit(TaskCount) == 200; }));
    BOOST_REQUIRE(await([&] { return running().size() == TaskCount; }));
    Nodes.add(Store.address(), Fleet.listAddress());
    BOOST_REQUIRE(await([&] { return stateAt(Successor) == "running"; }));
    pause(SteadyTime);
    Epoch = Fleet.vm(0).FencingToken;
    BOOST_REQUIRE(allVmsHold(Epoch));
    BOOST_REQUIRE(Fleet.History.starts() == TaskCount);
    DisruptedAt = boot_clock::now();
  }

  /** @return Index of the VM with the only run. */
  [[nodiscard]] std::size_t busyVm() const {
    return Fleet.vm(0).Running.empty() ? 1 : 0;
  }
  [[nodiscard]] std::size_t idleVm() const { return 1 - busyVm(); }

  /** @brief The leader keeps one VM, and loses the store and the other VM; all
   * later leaders lose the former VM. */
  void split(const std::size_t LeadersVm, const std::size_t SuccessorsVm) {
    DisruptedAt = boot_clock::now();
    Nodes.storeLink(Leader).setFault(link_fault::Silent);
    Fleet.cutFrom(LeadersVm,
                  [this](const std::uint64_t Token) { return Token > Epoch; });
    Fleet.cutFrom(SuccessorsVm,
                  [this](const std::uint64_t Token) { return Token <= Epoch; });
    pause(CutTime);
    BOOST_TEST(Fleet.vm(LeadersVm).FencingToken == Epoch);
    BOOST_TEST((Fleet.vm(LeadersVm).LastRequestAt > DisruptedAt + LongestLease),
               "the former leader stopped before its leases expired");
    BOOST_TEST(Fleet.vm(SuccessorsVm).FencingToken > Epoch,
               "no successor was elected");
  }

  void heal() {
    Nodes.storeLink(Leader).setFault(link_fault::None);
    for (std::size_t I = 0; I < VmCount; ++I)
      Fleet.cutFrom(I, nullptr);
    pause(SettleTime);
  }

  void failStore() {
    DisruptedAt = boot_clock::now();
    Store.setFault(store_fault::Unresponsive);
    pause(StoreOutage);
    Store.setFault(store_fault::None);
    pause(SettleTime);
  }

  void verify(const std::size_t TaskCount) {
    BOOST_TEST_MESSAGE("runs, times since the disruption: " << timeline());
    for (const auto &Each : Fleet.History.violations(MaxAttempts))
      BOOST_ERROR(Each + timeline());
    for (const auto &Each : Nodes.Violations)
      BOOST_ERROR(Each);
    BOOST_TEST(running().size() == TaskCount);
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      BOOST_TEST(stateAt(I) == "running");
  }

  /** @return Server and number of each run that is at work. */
  [[nodiscard]] std::vector<std::string> running() const {
    std::vector<std::string> Found;
    for (const auto &Each : Fleet.History.runsOf(Job)) {
      if (Each.EndedAt == time_point::max())
        Found.push_back(Each.Server + " " + std::to_string(Each.Number));
    }
    return Found;
  }

  [[nodiscard]] bool runsOn(const std::size_t Vm) const {
    return !Fleet.vm(Vm).Running.empty();
  }

  [[nodiscard]] std::size_t starts() const { return Fleet.History.starts(); }

private:
  [[nodiscard]] bool allVmsHold(const std::uint64_t LowestToken) const {
    for (std::size_t I = 0; I < VmCount; ++I) {
      if (Fleet.vm(I).FencingToken < LowestToken)
        return false;
    }
    return true;
  }

  void pause(const duration Time) {
    static_cast<void>(
        Loop.runUntil([] { return false; }, boot_clock::now() + Time));
  }

  bool await(const std::function<bool()> &Condition) {
    const time_point End = boot_clock::now() + StepTimeout;
    while (!Condition()) {
      if (boot_clock::now() >= End)
        return false;
      pause(100 * Millisecond);
    }
    return true;
  }

  std::optional<http::response> send(const std::size_t Node,
                                     const http::method Method,
                                     const std::string &Body) {
    http::request Request;
    Request.Method = Method;
    Request.Path = "/" + Pool + "/" + Job;
    Request.Body = Body;
    Request.Headers = {{"X-Deadline-Ms", "2800"}};
    return sendAndWait(Loop, Client, Nodes.callersAddress(Node),
                       std::move(Request), RequestTimeout);
  }

  int submit(const std::size_t TaskCount) {
    const json Step{{"count", TaskCount},
                    {"cpu", 1000},
                    {"memMb", 100},
                    {"longRunning", true}};
    const json Body{{"spec", "7200000"}, {"steps", json::array({Step})}};
    const auto Response = send(Leader, http::method::Post, Body.dump());
    return Response ? Response->Status : 0;
  }

  /** @return State of the job as a node shows it; empty without a response. */
  std::string stateAt(const std::size_t Node) {
    const auto Response = send(Node, http::method::Get, "");
    return Response && Response->Status == 200
               ? json::parse(Response->Body).at("state").get<std::string>()
               : "";
  }

  [[nodiscard]] std::string sinceDisruption(const time_point At) const {
    return std::to_string((At - DisruptedAt) / Millisecond) + " ms";
  }

  [[nodiscard]] std::string timeline() const {
    std::ostringstream Text;
    for (const auto &Each : Fleet.History.runsOf(Job)) {
      Text << "\n  run " << Each.Number << " on " << Each.Server
           << " started at " << sinceDisruption(Each.StartedAt);
      if (Each.EndedAt == time_point::max())
        Text << ", running";
      else
        Text << ", " << Each.Outcome << " at " << sinceDisruption(Each.EndedAt);
    }
    return Text.str();
  }

  http::loop Loop;
  disruption_log Disruptions;
  store_standin Store;
  fleet_standin Fleet;
  node_group Nodes;
  config_operator Operator;
  http::client Client;
  http::timer UpdateTimer;
  /** Epoch of the leader before the disruption. */
  std::uint64_t Epoch{0};
  time_point DisruptedAt;
};

} // namespace

BOOST_AUTO_TEST_SUITE(split_leadership)

// A leader that the store does not serve renews the lease of a backend server
// that its successor can't reach. The successor takes the run there for ended
// and starts its task elsewhere.
BOOST_AUTO_TEST_CASE(successor_starts_nothing_that_its_predecessor_keeps) {
  split_run Run{1};
  const std::size_t Busy = Run.busyVm();
  const std::size_t Idle = Run.idleVm();
  Run.split(Busy, Idle);
  BOOST_TEST(Run.runsOn(Idle), "the successor did not restart the task");
  Run.heal();
  Run.verify(1);
}

// A leader that the store does not serve takes a lease for expired that it
// could not renew, although its successor has renewed it, and starts the task
// on a backend server that only the former leader reaches.
BOOST_AUTO_TEST_CASE(former_leader_starts_nothing_that_its_successor_keeps) {
  split_run Run{1};
  const auto RunsBefore = Run.running();
  const std::size_t Busy = Run.busyVm();
  const std::size_t Idle = Run.idleVm();
  Run.split(Idle, Busy);
  Run.heal();
  Run.verify(1);
  BOOST_TEST(Run.running() == RunsBefore, boost::test_tools::per_element());
}

// The leases of all runs expire although the store alone is unavailable, for
// less than a lease, and all nodes reach all backend servers.
BOOST_AUTO_TEST_CASE(runs_survive_a_short_outage_of_the_store) {
  split_run Run{VmCount};
  const auto RunsBefore = Run.running();
  Run.failStore();
  Run.verify(VmCount);
  BOOST_TEST(Run.starts() == VmCount);
  BOOST_TEST(Run.running() == RunsBefore, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
