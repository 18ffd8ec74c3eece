#include "simulated_platform.hpp"
#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::test;

namespace {

constexpr duration Second = std::chrono::seconds{1};

} // namespace

BOOST_AUTO_TEST_SUITE(unknown_runs)

// A successor ordered the maintenance of a VM whose backend server had not
// responded to it yet. It took the runs that it did not know for none, so it
// ended more tasks of a step than the step's disruption budget permits.
BOOST_AUTO_TEST_CASE(successor_maintains_no_vm_whose_runs_are_unknown) {
  simulated_platform Platform;
  for (const char *Id : {"s0", "s1", "s2"})
    Platform.addServer(Id, "press");
  Platform.elect();
  Platform.advance(Second);
  job_spec Spec;
  Spec.Spec = "text";
  Spec.Steps = {makeStep(6, 2000, 0)};
  Spec.Steps.front().LongRunning = true;
  Spec.Steps.front().MaxPerServer = 2;
  Spec.Steps.front().DisruptionBudget = 1;
  BOOST_REQUIRE(Platform.submit("press", "a", Spec));
  Platform.advance(3 * Second);
  simulated_server &Slow = Platform.Servers.at("s0");
  BOOST_REQUIRE(Slow.Running.size() == 2U);
  Slow.Unresponsive = true;
  Platform.elect();
  Platform.Leader->setWaves({{1, wave{1, {"vm-s0"}, 20, 1}}});
  Platform.advance(Second);
  BOOST_TEST(Platform.VmOrders.empty());
  // Once the leases of its runs have expired, the wave goes on.
  Platform.advance(10 * Second);
  BOOST_TEST(Platform.VmOrders.size() == 1U);
  for (const auto &Each : Platform.Violations)
    BOOST_ERROR(Each);
}

// A successor did not count a VM whose maintenance its predecessor had ordered,
// but which the platform had not begun yet, and exceeded the cap of the wave.
BOOST_AUTO_TEST_CASE(successor_counts_orders_that_are_not_carried_out_yet) {
  simulated_platform Platform;
  for (const char *Id : {"s0", "s1", "s2"})
    Platform.addServer(Id, "press");
  const auto CarryOut = Platform.Ports.OrderVm;
  std::optional<vm_order> Held;
  Platform.Ports.OrderVm = [&](const vm_order &Order, const auto &Callback) {
    if (Held)
      CarryOut(Order, Callback);
    else
      Held = Order;
  };
  Platform.elect();
  Platform.advance(Second);
  const wave Wave{1, {"vm-s0", "vm-s1"}, 20, 1};
  Platform.Leader->setWaves({{1, Wave}});
  for (int I = 0; I < 100 && !Held; ++I)
    Platform.advance(Second / 50);
  BOOST_REQUIRE(Held.has_value());
  Platform.elect();
  Platform.Leader->setWaves({{1, Wave}});
  Platform.advance(Second);
  CarryOut(*Held, [](const vm_result &) {});
  std::ptrdiff_t MostDown = 0;
  for (int I = 0; I < 500; ++I) {
    Platform.advance(Second / 50);
    MostDown = std::max(
        MostDown,
        std::ranges::count(Platform.Vms, vm_state::Maintenance, &vm::State));
  }
  BOOST_TEST(MostDown == 1);
  BOOST_TEST(Platform.VmOrders.size() == 2U);
}

/** @brief A backend server with long-running tasks of a job has left for good,
 * with its VM, when a successor is elected. */
struct departed_server {
  simulated_platform Platform;

  departed_server() {
    for (const char *Id : {"s0", "s1"})
      Platform.addServer(Id, "press");
    Platform.elect();
    Platform.advance(Second);
    job_spec Spec;
    Spec.Spec = "text";
    Spec.Steps = {makeStep(2, 2000, 0)};
    Spec.Steps.front().LongRunning = true;
    Spec.Steps.front().MaxPerServer = 1;
    BOOST_REQUIRE(Platform.submit("press", "a", Spec));
    Platform.advance(Second);
    BOOST_REQUIRE(Platform.Servers.at("s0").Running.size() == 1U);
    Platform.addServer("s2", "press");
    Platform.crash("s0");
    Platform.elect();
  }

  std::size_t countRunning() const {
    return Platform.countRunning({"a", 0, 0, 0}) +
           Platform.countRunning({"a", 0, 0, 1});
  }
};

// Each new leader waited as long as a lease for backend servers that had left,
// although the list of VMs no longer named them: with frequent changes of
// leader, their tasks never ran again.
BOOST_AUTO_TEST_CASE(successor_does_not_wait_for_a_server_that_has_left) {
  departed_server Departed;
  std::erase_if(Departed.Platform.Vms,
                [](const vm &Each) { return Each.Server == "s0"; });
  Departed.Platform.advance(Second);
  BOOST_TEST(Departed.countRunning() == 2U);
  for (const auto &Each : Departed.Platform.Violations)
    BOOST_ERROR(Each);
}

// A list of VMs with unreadable rows does not show that a backend server has
// left: its row may be one of those.
BOOST_AUTO_TEST_CASE(successor_waits_if_the_list_of_vms_is_incomplete) {
  departed_server Departed;
  Departed.Platform.VmListIncomplete = true;
  std::erase_if(Departed.Platform.Vms,
                [](const vm &Each) { return Each.Server == "s0"; });
  Departed.Platform.advance(3 * Second);
  BOOST_TEST(Departed.countRunning() == 1U);
  Departed.Platform.advance(5 * Second);
  BOOST_TEST(Departed.countRunning() == 2U);
}

// A list of runs with an unreadable row was taken for complete: the run in that
// row was released and its task started a second time.
BOOST_AUTO_TEST_CASE(incomplete_list_of_runs_releases_none) {
  simulated_platform Platform;
  for (const char *Id : {"s0", "s1"})
    Platform.addServer(Id, "press");
  Platform.Duration = [](const task_id &, std::uint32_t) { return 60000.0; };
  const auto List = Platform.Ports.Heartbeat;
  bool Incomplete = false;
  Platform.Ports.Heartbeat = [&](const heartbeat_order &Order,
                                 const auto &Callback) {
    List(Order, [&, Callback](const heartbeat_result &Complete) {
      heartbeat_result Result = Complete;
      if (Incomplete) {
        Result.Incomplete = true;
        Result.Running.clear();
      }
      Callback(Result);
    });
  };
  Platform.elect();
  Platform.advance(Second);
  job_spec Spec;
  Spec.Steps = {makeStep(1, 1000, 60000)};
  BOOST_REQUIRE(Platform.submit("press", "a", Spec));
  Platform.advance(Second);
  BOOST_REQUIRE(Platform.Starts == 1U);
  Incomplete = true;
  Platform.advance(2 * Second);
  BOOST_TEST(Platform.Starts == 1U);
  Platform.elect();
  Platform.advance(2 * Second);
  BOOST_TEST(Platform.Starts == 1U);
  Incomplete = false;
  Platform.advance(2 * Second);
  BOOST_TEST(Platform.countRunning({"a", 0, 0, 0}) == 1U);
  for (const auto &Each : Platform.Violations)
    BOOST_ERROR(Each);
}

// A VM in a state that the leader does not know was taken for down: its runs
// were released and their tasks started a second time.
BOOST_AUTO_TEST_CASE(vm_of_unknown_state_keeps_its_runs) {
  simulated_platform Platform;
  for (const char *Id : {"s0", "s1"})
    Platform.addServer(Id, "press");
  Platform.Duration = [](const task_id &, std::uint32_t) { return 60000.0; };
  Platform.elect();
  Platform.advance(2 * Second);
  job_spec Spec;
  Spec.Steps = {makeStep(1, 1000, 60000)};
  BOOST_REQUIRE(Platform.submit("press", "a", Spec));
  Platform.advance(Second);
  BOOST_REQUIRE(Platform.Starts == 1U);
  for (auto &Vm : Platform.Vms) {
    if (Vm.Server == "s0")
      Vm.State = vm_state::Unknown;
  }
  Platform.advance(3 * Second);
  BOOST_TEST(Platform.Starts == 1U);
  BOOST_TEST(Platform.countRunning({"a", 0, 0, 0}) == 1U);
  for (const auto &Each : Platform.Violations)
    BOOST_ERROR(Each);
}

// A leader that had been paused answered a cancel as it resumed, before it
// learned of its successor: it denied a job that the successor had accepted, so
// that the caller took a job for cancelled which ran on.
BOOST_AUTO_TEST_CASE(unconfirmed_leader_denies_no_job) {
  using verdict = caller_reply::verdict;
  simulated_platform Platform;
  Platform.addServer("s0", "press");
  Platform.elect();
  Platform.advance(Second);
  const auto Cancel = [&] {
    std::optional<verdict> Verdict;
    Platform.Leader->cancel(
        {"a"}, [&](const caller_reply &Reply) { Verdict = Reply.Verdict; });
    Platform.advance(Second);
    return Verdict;
  };
  Platform.LeadershipConfirmed = false;
  BOOST_CHECK(Platform.Leader->query({"a"}).Verdict == verdict::NotLeading);
  BOOST_CHECK(Cancel() == verdict::NotLeading);
  Platform.LeadershipConfirmed = true;
  BOOST_CHECK(Platform.Leader->query({"a"}).Verdict == verdict::NoJob);
  BOOST_CHECK(Cancel() == verdict::NoJob);
}

// A leader whose process was suspended between the decision on a VM order and
// the store's response sent the order after a successor had taken over.
BOOST_AUTO_TEST_CASE(unconfirmed_leader_orders_no_vm) {
  simulated_platform Platform;
  for (const char *Id : {"s0", "s1"})
    Platform.addServer(Id, "press");
  const auto Append = Platform.Ports.Append;
  Platform.Ports.Append = [&](std::uint64_t Epoch, std::uint64_t Sequence,
                              const std::vector<keyed_record> &Records,
                              time_point Deadline, const auto &Callback) {
    const bool HasOrder =
        std::ranges::any_of(Records, [](const keyed_record &Each) {
          return Each.Key.starts_with("v");
        });
    if (HasOrder)
      Platform.LeadershipConfirmed = false;
    Append(Epoch, Sequence, Records, Deadline, Callback);
  };
  Platform.elect();
  Platform.advance(Second);
  Platform.Leader->setWaves({{1, wave{1, {"vm-s0"}, 20, 1}}});
  Platform.advance(5 * Second);
  BOOST_TEST(!Platform.LeadershipConfirmed);
  BOOST_TEST(Platform.VmOrders.empty());
}

// The start of a task that was at work had no response because the leader's
// link was full. After its last repeat the leader stopped the run, which took
// the step below its disruption budget, instead of asking for the list of runs.
BOOST_AUTO_TEST_CASE(start_without_a_response_is_settled_by_the_list_of_runs) {
  simulated_platform Platform;
  for (const char *Id : {"s0", "s1"})
    Platform.addServer(Id, "press");
  const auto List = Platform.Ports.Heartbeat;
  const auto Stop = Platform.Ports.Stop;
  std::vector<std::function<void()>> Held;
  bool Holds = false;
  Platform.Ports.Heartbeat = [&](const heartbeat_order &Order,
                                 const auto &Callback) {
    List(Order, [&, Callback](const heartbeat_result &Result) {
      if (Holds)
        Held.push_back([Callback, Result] { Callback(Result); });
      else
        Callback(Result);
    });
  };
  int Stops = 0;
  Platform.Ports.Stop = [&](const stop_order &Order, const auto &Callback) {
    ++Stops;
    Stop(Order, Callback);
  };
  Platform.elect();
  Platform.advance(Second);
  Holds = true;
  Platform.advance(Second);
  for (auto &[Id, Server] : Platform.Servers)
    Server.DropsStartResponses = true;
  job_spec Spec;
  Spec.Spec = "text";
  Spec.Steps = {makeStep(2, 2000, 0)};
  Spec.Steps.front().LongRunning = true;
  Spec.Steps.front().DisruptionBudget = 1;
  BOOST_REQUIRE(Platform.submit("press", "a", Spec));
  Platform.advance(2 * Second);
  BOOST_TEST(Platform.countServing("a", 2) == 2U);
  // These lists were requested before the starts and cannot name the runs.
  Holds = false;
  for (const auto &Each : std::exchange(Held, {}))
    Each();
  Platform.advance(2 * Second);
  BOOST_TEST(Stops == 0);
  BOOST_TEST(Platform.Starts == 2U);
  BOOST_TEST(Platform.countServing("a", 2) == 2U);
  for (const auto &Each : Platform.Violations)
    BOOST_ERROR(Each);
}

// A leader that the store did not serve renewed the leases of a backend server
// after its successor had been elected, which could not reach that server. The
// successor started the tasks elsewhere before these leases had expired.
BOOST_AUTO_TEST_CASE(successor_waits_for_leases_that_its_predecessor_renewed) {
  simulated_platform Platform;
  for (const char *Id : {"s0", "s1"})
    Platform.addServer(Id, "press");
  Platform.Duration = [](const task_id &, std::uint32_t) { return 60000.0; };
  Platform.elect();
  Platform.advance(Second);
  job_spec Spec;
  Spec.Spec = "text";
  Spec.Steps = {makeStep(2, 20000, 60000)};
  BOOST_REQUIRE(Platform.submit("press", "a", Spec));
  Platform.advance(Second);
  simulated_server &Cut = Platform.Servers.at("s0");
  BOOST_REQUIRE(Cut.Running.size() == 1U);
  Cut.Unresponsive = true;
  Platform.elect();
  Platform.advance(Second / 2);
  const auto NowMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                         Platform.Now.time_since_epoch())
                         .count();
  Cut.LeaseEndMs = std::max<std::int64_t>(Cut.LeaseEndMs, NowMs + 4500);
  // The other half of the pool gets room for the second task.
  Platform.addServer("s2", "press");
  Platform.advance(10 * Second);
  BOOST_TEST(Platform.countRunning({"a", 0, 0, 0}) == 1U);
  BOOST_TEST(Platform.countRunning({"a", 0, 0, 1}) == 1U);
  for (const auto &Each : Platform.Violations)
    BOOST_ERROR(Each);
}

BOOST_AUTO_TEST_SUITE_END()
