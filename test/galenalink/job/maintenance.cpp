#include "galenalink/job/disruption_budget.hpp"
#include "galenalink/job/vm_orders.hpp"
#include "one_pool.hpp"

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::test;

BOOST_AUTO_TEST_SUITE(maintenance_waves)

// Two maintenance orders in one pass of the control loop ended two tasks of a
// step with a disruption budget of one, because the first order was not counted
// until its response arrived.
BOOST_AUTO_TEST_CASE(one_control_pass_respects_the_disruption_budget) {
  one_pool Platform{4};
  Platform.submit("press", "a", makeJob({makeLongRunningStep(4, 1)}));
  Platform.advance(5 * Second);
  wave Wave{1, {}, 8, 4};
  for (const auto &Each : Platform.Vms)
    Wave.Vms.push_back(Each.Name);
  Platform.Leader->setWaves({{1, Wave}});
  BOOST_TEST(minRunning(Platform, 4, 12000 * Millisecond) >= 3U);
  BOOST_TEST(Platform.VmOrders.size() == 4U);
}

// Maintenance of a backend server with two tasks of one step ended both at
// once, although the disruption budget of the step was one.
BOOST_AUTO_TEST_CASE(tasks_of_one_step_are_evacuated_one_at_a_time) {
  one_pool Platform{3};
  auto Step = makeLongRunningStep(6, 1);
  Step.MaxPerServer = 2;
  Platform.submit("press", "a", makeJob({Step}));
  Platform.advance(5 * Second);
  wave Wave{1, {"vm-s0"}, 20, 1};
  Platform.Leader->setWaves({{1, Wave}});
  BOOST_TEST(minRunning(Platform, 6, 6000 * Millisecond) >= 5U);
}

namespace {

/** @brief A long-running step, two of whose tasks fit on one backend server. */
step_spec makePairedStep(const std::uint32_t Count) {
  auto Step = makeLongRunningStep(Count, 1);
  Step.MaxPerServer = 2;
  return Step;
}

std::size_t countRunning(const simulated_platform &Platform,
                         const std::uint32_t Count) {
  std::size_t Running = 0;
  for (std::uint32_t Index = 0; Index < Count; ++Index)
    Running += Platform.countRunning({"a", 0, 0, Index});
  return Running;
}

/** @return VMs whose backend servers have as many runs. */
std::vector<std::string> vmsWithRuns(const simulated_platform &Platform,
                                     const std::size_t Runs) {
  std::vector<std::string> Vms;
  for (const auto &[Id, Server] : Platform.Servers) {
    if (Server.Running.size() == Runs)
      Vms.push_back(Server.Vm);
  }
  return Vms;
}

} // namespace

// Two VMs of a pool of three were drained at once, so that a task that had been
// stopped to leave one of them had no room anywhere. It used up the disruption
// budget, and neither drain ended: the task never ran again.
BOOST_AUTO_TEST_CASE(task_is_not_evacuated_without_room_elsewhere) {
  one_pool Platform{3};
  Platform.submit("press", "a", makeJob({makePairedStep(5)}));
  Platform.advance(5 * Second);
  wave Wave{1, vmsWithRuns(Platform, 1), 8, 2};
  Wave.Vms.push_back(vmsWithRuns(Platform, 2).front());
  BOOST_REQUIRE(Wave.Vms.size() == 2U);
  Platform.Leader->setWaves({{1, Wave}});
  BOOST_TEST(minRunning(Platform, 5, 30 * Second) >= 4U);
  BOOST_TEST(countRunning(Platform, 5) == 5U);
  BOOST_TEST(Platform.VmOrders.size() == 2U);
  checkNoViolations(Platform);
}

// A backend server was lost while two others of its pool were drained. Its
// tasks had room on those alone, which took no work until the drains ended, and
// these waited for the tasks to be available.
BOOST_AUTO_TEST_CASE(blocked_drains_are_given_up) {
  one_pool Platform{4};
  // Keeps the drains from ending before the backend server is lost.
  auto Finite = makeStep(4, 20000, 4000);
  Platform.submit("press", "a", makeJob({makePairedStep(6)}));
  Platform.advance(3 * Second);
  Platform.submit("press", "b", makeJob({Finite}));
  Platform.advance(Second);
  std::vector<std::string> Drained;
  std::string Lost;
  for (const auto &[Id, Server] : Platform.Servers) {
    const auto Tasks = std::ranges::count_if(
        Server.Running, [](auto &Each) { return Each.first.Task.Job == "a"; });
    if (Tasks == 1)
      Drained.push_back(Server.Vm);
    else
      Lost = Id;
  }
  BOOST_REQUIRE(Drained.size() == 2U);
  Platform.Leader->setWaves({{1, wave{1, Drained, 8, 2}}});
  Platform.advance(Second);
  for (auto &Each : Platform.Vms) {
    if (Each.Server == Lost)
      Each.State = vm_state::Down;
  }
  Platform.crash(Lost);
  Platform.advance(3 * Second);
  BOOST_TEST(countRunning(Platform, 6) == 6U);
  checkNoViolations(Platform);
}

// A task that had just been evacuated from one VM and was starting on the next
// one was ended there together with another task of its step.
BOOST_AUTO_TEST_CASE(starting_task_counts_as_unavailable) {
  one_pool Platform{3};
  Platform.submit("press", "a", makeJob({makeLongRunningStep(3, 1)}));
  Platform.advance(5 * Second);
  leader &State = Platform.Leader->state();
  BOOST_REQUIRE(State.Servers.at("s0")->Runs.size() == 1U);
  BOOST_TEST(budgetsAllowDisruption(State, *State.Servers.at("s0")));
  auto Moved = State.Servers.at("s1")->Runs.extract(
      State.Servers.at("s1")->Runs.begin());
  Moved.mapped().Percent = 0;
  State.Servers.at("s0")->Runs.insert(std::move(Moved));
  BOOST_TEST(!budgetsAllowDisruption(State, *State.Servers.at("s0")));
}

// A backend server that is disconnected from the store loses its registration,
// but its runs continue. Its VM was considered idle, and two tasks of one step
// were ended.
BOOST_AUTO_TEST_CASE(vm_of_an_unregistered_server_is_not_idle) {
  one_pool Platform{3};
  auto Step = makeLongRunningStep(6, 1);
  Step.MaxPerServer = 2;
  Platform.submit("press", "a", makeJob({Step}));
  Platform.advance(5 * Second);
  Platform.Servers.at("s0").Unregistered = true;
  Platform.advance(Second / 2);
  Platform.Leader->setWaves({{1, wave{1, {"vm-s0"}, 20, 1}}});
  BOOST_TEST(minRunning(Platform, 6, 6000 * Millisecond) >= 5U);
}

// A successor repeated an order for maintenance that had been carried out
// before. The runs on the VM continued, but the leader considered them ended
// and started their tasks a second time elsewhere.
BOOST_AUTO_TEST_CASE(repeated_maintenance_order_ends_no_runs) {
  one_pool Platform{4};
  Platform.advance(4 * Second);
  wave Wave{1, {"vm-s0", "vm-s1"}, 12, 1};
  Platform.Leader->setWaves({{1, Wave}});
  Platform.advance(14 * Second);
  std::erase_if(Platform.Stored,
                [](const auto &Each) { return Each.first.front() == 'w'; });
  Platform.elect();
  Platform.Leader->setWaves({{1, Wave}});
  Platform.submit("press", "a", makeJob({makeLongRunningStep(3, 1)}));
  Platform.advance(12 * Second);
  BOOST_TEST(Platform.VmOrders.size() == 2U);
  BOOST_TEST(Platform.Starts == 3U);
  checkNoViolations(Platform);
}

// A VM got new work between the order for its maintenance and the response.
BOOST_AUTO_TEST_CASE(vm_with_a_pending_order_gets_no_new_work) {
  one_pool Platform{2};
  Platform.advance(4 * Second);
  Platform.Leader->setWaves({{1, wave{1, {"vm-s0"}, 4, 1}}});
  for (int I = 0; I < 60 && Platform.Leader->state().PendingVmOrders.empty();
       ++I)
    Platform.advance(std::chrono::milliseconds{20});
  const auto &Servers = Platform.Leader->state().Servers;
  BOOST_TEST((!Servers.contains("s0") || Servers.at("s0")->Cordoned ||
              !Servers.at("s0")->Synced));
}

// A successor waited 3 s before it sent an order for any VM. Only VMs with a
// recent order by the previous leader have to wait.
BOOST_AUTO_TEST_CASE(successor_orders_other_vms_without_delay) {
  one_pool Platform{4};
  Platform.Leader->setWaves({{1, wave{1, {"vm-s0"}, 4, 2}}});
  Platform.advance(Second);
  BOOST_REQUIRE(Platform.VmOrders.size() == 1U);
  Platform.elect();
  leader &State = Platform.Leader->state();
  BOOST_TEST(orderGapPending(State, "vm-s0"));
  Platform.Leader->setWaves({{1, wave{1, {"vm-s0", "vm-s1"}, 4, 2}}});
  Platform.advance(Second);
  BOOST_REQUIRE(Platform.VmOrders.size() == 2U);
  BOOST_TEST(Platform.VmOrders[1].Vm == "vm-s1");
  Platform.advance(3 * Second);
  BOOST_TEST(!orderGapPending(State, "vm-s0"));
}

// No more VMs than the wave's cap may be in maintenance at the same time, and
// all must be maintained within the wave's window.
BOOST_AUTO_TEST_CASE(wave_respects_its_cap_and_deadline) {
  one_pool Platform{8};
  Platform.advance(4 * Second);
  wave Wave{1, {}, 20, 2};
  for (const auto &Each : Platform.Vms)
    Wave.Vms.push_back(Each.Name);
  Platform.Leader->setWaves({{1, Wave}});
  std::ptrdiff_t MaxInMaintenance = 0;
  for (int I = 0; I < 1000; ++I) {
    Platform.advance(std::chrono::milliseconds{20});
    MaxInMaintenance = std::max(
        MaxInMaintenance,
        std::ranges::count(Platform.Vms, vm_state::Maintenance, &vm::State));
  }
  BOOST_TEST(MaxInMaintenance <= 2);
  BOOST_TEST(Platform.VmOrders.size() == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
