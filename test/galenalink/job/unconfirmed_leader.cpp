#include "simulated_platform.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::test;

namespace {

constexpr duration Second = std::chrono::seconds{1};
constexpr duration Step = std::chrono::milliseconds{20};

/** @brief Two backend servers with one long-running task on each. */
struct two_servers {
  simulated_platform Platform;

  two_servers() {
    for (const char *Id : {"s0", "s1"})
      Platform.addServer(Id, "press");
    Platform.elect();
    Platform.advance(Second);
    job_spec Spec;
    Spec.Spec = "text";
    Spec.Steps = {makeStep(2, 2000, 0)};
    Spec.Steps.front().LongRunning = true;
    BOOST_REQUIRE(Platform.submit("press", "a", Spec));
    Platform.advance(Second);
    BOOST_REQUIRE(server("s0").Running.size() == 1U);
    BOOST_REQUIRE(server("s1").Running.size() == 1U);
  }

  simulated_server &server(const std::string &Id) {
    return Platform.Servers.at(Id);
  }
  /** @brief The store confirms the leader no longer. */
  void loseStore() {
    Platform.LeadershipConfirmed = false;
    Platform.LeadershipConfirmedAt = Platform.Now;
  }
};

/** @brief The store and a successor are on one side of a partition, the leader
 * on the other; each side has one of the backend servers. */
struct partitioned_leaders : two_servers {
  std::unique_ptr<controller> Old;

  partitioned_leaders() {
    cutServers();
    Platform.Leader->state().LeadershipConfirmedAt = [At = Platform.Now] {
      return At;
    };
    Platform.PredecessorSeenAt = Platform.Now;
    Platform.advance(Second + Second / 2);
    Old = std::move(Platform.Leader);
    Platform.elect();
  }

  void advance(const duration Time) {
    const time_point End = Platform.Now + Time;
    while (Platform.Now < End) {
      Platform.advance(Step);
      Old->tick();
    }
  }

private:
  /** Only the first leader reaches `s0`, only its successor `s1`. */
  static bool reaches(const std::uint64_t Epoch, const std::string &Server) {
    return (Epoch == 1) == (Server == "s0");
  }
  void cutServers() {
    const auto Heartbeat = Platform.Ports.Heartbeat;
    Platform.Ports.Heartbeat = [this, Heartbeat](const heartbeat_order &Order,
                                                 const auto &Callback) {
      if (reaches(Order.Epoch, Order.Server.Id))
        Heartbeat(Order, Callback);
      else
        Platform.schedule(Second, [Callback] { Callback(heartbeat_result{}); });
    };
    const auto Stop = Platform.Ports.Stop;
    Platform.Ports.Stop = [this, Stop](const stop_order &Order,
                                       const auto &Callback) {
      if (reaches(Order.Epoch, Order.Server.Id))
        Stop(Order, Callback);
      else
        Platform.schedule(Second, [Callback] { Callback(order_result{}); });
    };
    const auto Start = Platform.Ports.Start;
    Platform.Ports.Start = [this, Start](const start_order &Order,
                                         const auto &Callback) {
      if (reaches(Order.Epoch, Order.Server.Id))
        Start(Order, Callback);
      else
        Platform.schedule(Second, [Callback] { Callback(order_result{}); });
    };
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(unconfirmed_leader)

// A leader that the store did not serve renewed leases for as long as backend
// servers on its side of a partition responded, and its successor started their
// tasks; it also took a lease for expired that its successor had renewed.
BOOST_AUTO_TEST_CASE(leaders_on_two_sides_run_no_task_twice) {
  partitioned_leaders Leaders;
  for (int I = 0; I < 15; ++I) {
    Leaders.advance(Second);
    for (std::uint32_t Task = 0; Task < 2; ++Task)
      BOOST_TEST(Leaders.Platform.countRunning({"a", 0, 0, Task}) <= 1U);
  }
  for (const auto &Each : Leaders.Platform.Violations)
    BOOST_ERROR(Each);
  // The successor runs the tasks of both backend servers in the end.
  BOOST_TEST(Leaders.server("s1").Running.size() == 2U);
}

// Guards against leases that are renewed for longer than a successor waits.
BOOST_AUTO_TEST_CASE(leases_are_granted_for_a_limited_time) {
  two_servers Servers;
  Servers.loseStore();
  const time_point LastGrant = Servers.Platform.Now + LeaseGrantValidity;
  const std::int64_t LatestEndMs =
      wholeMs((LastGrant + leader_settings{}.Lease).time_since_epoch());
  Servers.Platform.advance(4 * Second);
  BOOST_TEST(Servers.server("s0").Running.size() == 1U);
  BOOST_TEST(Servers.server("s0").LeaseEndMs <= LatestEndMs);
  BOOST_TEST(Servers.server("s0").LeaseEndMs > LatestEndMs - 1000);
  Servers.Platform.advance(5 * Second);
  BOOST_TEST(Servers.server("s0").Running.empty());
  // No task starts before the store confirms the leader again.
  BOOST_TEST(Servers.server("s1").Running.empty());
  Servers.Platform.LeadershipConfirmed = true;
  Servers.Platform.advance(Second);
  BOOST_TEST(Servers.Platform.countRunning({"a", 0, 0, 0}) == 1U);
  BOOST_TEST(Servers.Platform.countRunning({"a", 0, 0, 1}) == 1U);
}

// A process that was paused between two start orders sent the second with a
// lease that its successor did not wait for.
BOOST_AUTO_TEST_CASE(leases_granted_after_a_pause_are_limited) {
  two_servers Servers;
  simulated_platform &Platform = Servers.Platform;
  std::vector<std::int64_t> LeaseEnds;
  const auto Start = Platform.Ports.Start;
  Platform.Ports.Start = [&](const start_order &Order, const auto &Callback) {
    LeaseEnds.push_back(Order.LeaseEndMs);
    Start(Order, Callback);
    Platform.Now += 5 * Second;
  };
  Servers.loseStore();
  const time_point LastGrant = Platform.Now + LeaseGrantValidity;
  job_spec Spec;
  Spec.Steps = {makeStep(2, 2000, 1000)};
  BOOST_REQUIRE(Platform.submit("press", "b", Spec));
  BOOST_REQUIRE(LeaseEnds.size() == 2U);
  const std::int64_t LatestEndMs =
      wholeMs((LastGrant + leader_settings{}.Lease).time_since_epoch());
  BOOST_TEST(LeaseEnds.back() <= LatestEndMs);
}

// Guards against runs that end in a short outage of the store.
BOOST_AUTO_TEST_CASE(runs_survive_a_short_outage_of_the_store) {
  two_servers Servers;
  Servers.loseStore();
  Servers.Platform.advance(5 * Second);
  Servers.Platform.LeadershipConfirmed = true;
  Servers.Platform.advance(2 * Second);
  BOOST_TEST(Servers.Platform.Starts == 2U);
  BOOST_TEST(Servers.server("s0").Running.size() == 1U);
  BOOST_TEST(Servers.server("s1").Running.size() == 1U);
}

// A lease that the leader could not renew was taken for expired while its
// successor may have renewed it. Once an append shows that there was none, the
// task starts elsewhere.
BOOST_AUTO_TEST_CASE(expired_lease_needs_a_confirmation) {
  two_servers Servers;
  bool Requested = false;
  Servers.Platform.Leader->state().ConfirmLeadership = [&] {
    Requested = true;
  };
  Servers.loseStore();
  Servers.server("s0").Unresponsive = true;
  Servers.Platform.advance(2 * Second);
  Servers.Platform.LeadershipConfirmedAt = Servers.Platform.Now;
  Servers.Platform.advance(2 * Second);
  Servers.Platform.LeadershipConfirmedAt = Servers.Platform.Now;
  BOOST_TEST(!Requested);
  Servers.Platform.advance(2 * Second);
  // Leadership is confirmed, but by an append before the lease expired.
  BOOST_TEST(Servers.Platform.Starts == 2U);
  BOOST_TEST(Requested);
  Servers.Platform.LeadershipConfirmedAt = Servers.Platform.Now;
  Servers.Platform.advance(Second / 2);
  BOOST_TEST(Servers.Platform.Starts == 3U);
  BOOST_TEST(Servers.server("s1").Running.size() == 2U);
}

// A backend server takes up to the time of a stop to end runs whose lease has
// expired. Their tasks started elsewhere meanwhile.
BOOST_AUTO_TEST_CASE(tasks_wait_until_runs_without_a_lease_are_killed) {
  two_servers Servers;
  simulated_server &Slow = Servers.server("s0");
  Slow.KillMs = 400;
  Slow.Unresponsive = true;
  Servers.Platform.advance(8 * Second);
  BOOST_TEST(Servers.Platform.Starts == 3U);
  BOOST_TEST(Slow.Running.empty());
  for (const auto &Each : Servers.Platform.Violations)
    BOOST_ERROR(Each);
}

// The same under a successor, with a lease that its predecessor granted last.
BOOST_AUTO_TEST_CASE(successor_waits_until_runs_without_a_lease_are_killed) {
  partitioned_leaders Leaders;
  Leaders.server("s0").KillMs = 400;
  Leaders.advance(15 * Second);
  BOOST_TEST(Leaders.server("s1").Running.size() == 2U);
  for (const auto &Each : Leaders.Platform.Violations)
    BOOST_ERROR(Each);
}

// A leader that was unconfirmed for 1.5 s saw that its successor had ordered
// the maintenance of a VM. It started the task of a run there again, whose end
// the successor had noted.
BOOST_AUTO_TEST_CASE(tasks_of_a_lost_server_wait_for_a_confirmation) {
  two_servers Servers;
  Servers.loseStore();
  Servers.Platform.advance(Second);
  Servers.Platform.crash("s0");
  for (auto &Vm : Servers.Platform.Vms) {
    if (Vm.Server == "s0")
      Vm.State = vm_state::Maintenance;
  }
  Servers.Platform.advance(Second);
  BOOST_TEST(mayGrantLeases(Servers.Platform.Leader->state()));
  BOOST_TEST(Servers.Platform.Starts == 2U);
  Servers.Platform.LeadershipConfirmedAt = Servers.Platform.Now;
  Servers.Platform.advance(Second / 2);
  BOOST_TEST(Servers.Platform.Starts == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
