#include "simulated_platform.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::test;

namespace {

constexpr duration Second = std::chrono::seconds{1};
/** Longer than a lease that all repeats of a start order have extended. */
constexpr duration Outage = 7 * Second;
constexpr std::int64_t ServerCpu = 32000;

/** @brief A task whose start orders to a backend server got no response,
 * because the network held them; they are carried out when the test says so. */
struct held_start {
  simulated_platform Platform;
  const task_id Task{"a", 0, 0, 0};

  held_start() {
    CarryOut = Platform.Ports.Start;
    Platform.Ports.Start = [this](const start_order &Order,
                                  const auto &Callback) {
      if (Platform.Servers.at(Order.Server.Id).Unresponsive)
        Held.push_back(Order);
      CarryOut(Order, Callback);
    };
    Platform.Duration = [](const task_id &, std::uint32_t) { return 60000.0; };
    Platform.addServer("s0", "press", ServerCpu);
    Platform.elect();
    Platform.advance(Second);
    submit("b", 1000);
    BOOST_REQUIRE(Platform.Starts == 1U);
    first().Unresponsive = true;
    submit("a", ServerCpu / 4);
    BOOST_REQUIRE(!Held.empty());
    BOOST_REQUIRE(Platform.countRunning(Task) == 0U);
  }

  simulated_server &first() { return Platform.Servers.at("s0"); }

  void submit(const std::string &Id, const std::int64_t Cpu) {
    job_spec Spec;
    Spec.Spec = "text";
    Spec.Steps = {makeStep(1, Cpu, 60000)};
    BOOST_REQUIRE(Platform.submit("press", Id, Spec));
  }

  [[nodiscard]] bool runsOn(const std::string &Server) const {
    for (const auto &[Run, State] : Platform.Servers.at(Server).Running) {
      if (Run.Task == Task)
        return true;
    }
    return false;
  }

  /** @brief Carries out the held start orders and checks that they begin no
   * run. */
  void checkLateStarts() {
    const std::uint64_t Starts = Platform.Starts;
    for (const auto &Each : Held)
      CarryOut(Each, [](const order_result &) {});
    Platform.advance(2 * Second);
    BOOST_TEST(Platform.Starts == Starts);
    BOOST_TEST(Platform.countRunning(Task) == 1U);
    for (const auto &Each : Platform.Violations)
      BOOST_ERROR(Each);
  }

private:
  decltype(ports::Start) CarryOut;
  std::vector<start_order> Held;
};

} // namespace

BOOST_AUTO_TEST_SUITE(late_starts)

// A start order without a response was released when the lease had expired. It
// arrived after the outage, under a lease that newer orders had extended, and
// its run began beside the newer run on the same backend server.
BOOST_AUTO_TEST_CASE(late_start_begins_no_run_beside_a_newer_one) {
  held_start Start;
  Start.Platform.advance(Outage);
  Start.first().Unresponsive = false;
  Start.Platform.advance(2 * Second);
  BOOST_REQUIRE(Start.runsOn("s0"));
  Start.checkLateStarts();
}

// The same while the newer run is at work on another backend server.
BOOST_AUTO_TEST_CASE(late_start_begins_no_run_beside_one_elsewhere) {
  held_start Start;
  Start.Platform.addServer("s1", "press", ServerCpu / 2);
  Start.Platform.advance(Outage);
  BOOST_REQUIRE(Start.runsOn("s1"));
  Start.first().Unresponsive = false;
  Start.submit("c", ServerCpu / 2);
  Start.Platform.advance(2 * Second);
  BOOST_REQUIRE(!Start.first().Running.empty());
  Start.checkLateStarts();
}

// The same after the leader had removed the backend server, whose registration
// was missing for longer than the grace time, and had added it again.
BOOST_AUTO_TEST_CASE(late_start_begins_no_run_on_a_server_added_again) {
  held_start Start;
  Start.first().Unregistered = true;
  Start.Platform.advance(Outage);
  BOOST_REQUIRE(Start.Platform.Leader->state().Servers.empty());
  Start.first().Unregistered = false;
  Start.first().Unresponsive = false;
  Start.Platform.advance(2 * Second);
  BOOST_REQUIRE(Start.runsOn("s0"));
  Start.checkLateStarts();
}

BOOST_AUTO_TEST_SUITE_END()
