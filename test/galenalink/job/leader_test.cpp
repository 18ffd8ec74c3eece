#include "galenalink/job/runs.hpp"
#include "galenalink/job/vm_orders.hpp"
#include "simulated_platform.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::test;

namespace {

constexpr duration Second = std::chrono::seconds{1};
constexpr duration Millisecond = std::chrono::milliseconds{1};

job_spec makeJob(const std::vector<step_spec> &Steps) {
  job_spec Spec;
  Spec.Spec = "text";
  Spec.Steps = Steps;
  return Spec;
}

step_spec makeLongRunningStep(const std::uint32_t Count,
                              const std::uint32_t DisruptionBudget) {
  step_spec Step = makeStep(Count, 2000, 0);
  Step.LongRunning = true;
  Step.MaxPerServer = 1;
  Step.DisruptionBudget = DisruptionBudget;
  return Step;
}

struct one_pool : simulated_platform {
  explicit one_pool(const int Count = 4) {
    for (int I = 0; I < Count; ++I)
      addServer("s" + std::to_string(I), "press");
    elect();
    advance(Second);
  }
};

/** @brief Advances the simulated time.
 * @return Lowest number of running tasks of the first step of job `a` at any
 * time. */
std::size_t minRunning(simulated_platform &Platform, const std::uint32_t Count,
                       const duration Time) {
  std::size_t Lowest = Count;
  for (const time_point End = Platform.Now + Time; Platform.Now < End;) {
    Platform.advance(20 * Millisecond);
    std::size_t Running = 0;
    for (std::uint32_t Index = 0; Index < Count; ++Index)
      Running += Platform.countRunning({"a", 0, 0, Index});
    Lowest = std::min(Lowest, Running);
  }
  return Lowest;
}

void checkNoViolations(const simulated_platform &Platform) {
  for (const auto &Each : Platform.Violations)
    BOOST_ERROR(Each);
}

} // namespace

BOOST_AUTO_TEST_SUITE(leader_scheduling)

// A step must not start before the steps that it depends on have completed.
BOOST_AUTO_TEST_CASE(runs_steps_in_order) {
  one_pool Platform;
  auto SecondStep = makeStep(3, 1000, 200);
  SecondStep.DependsOn = {0};
  const auto Reply = Platform.submit(
      "press", "a", makeJob({makeStep(5, 1000, 300), SecondStep}));
  BOOST_REQUIRE(Reply);
  BOOST_TEST(static_cast<int>(Reply->Verdict) ==
             static_cast<int>(caller_reply::verdict::Ok));
  Platform.advance(std::chrono::milliseconds{200});
  BOOST_TEST(Platform.countRunning({"a", 0, 0, 0}) == 1U);
  BOOST_TEST(Platform.countRunning({"a", 0, 1, 0}) == 0U);
  Platform.advance(Second);
  BOOST_CHECK(Platform.stateOf("a") == job_state::Completed);
  checkNoViolations(Platform);
}

// A caller must not be told that a job is accepted before it is stored: the job
// would be lost with the leader.
BOOST_AUTO_TEST_CASE(job_is_accepted_only_once_stored) {
  one_pool Platform;
  Platform.StoreDown = true;
  const auto Reply =
      Platform.submit("press", "a", makeJob({makeStep(1, 1000, 300)}));
  BOOST_CHECK(!Reply);
  Platform.advance(Second);
  BOOST_TEST(Platform.Starts == 0U);
  const auto Later =
      Platform.submit("press", "b", makeJob({makeStep(1, 1000, 300)}));
  BOOST_REQUIRE(Later);
  BOOST_CHECK(Later->Verdict == caller_reply::verdict::Refused);
}

// A start that times out, but is carried out seconds later, must not make the
// task run twice.
BOOST_AUTO_TEST_CASE(delayed_start_does_not_run_task_twice) {
  one_pool Platform{3};
  for (auto &[Id, Server] : Platform.Servers)
    Server.StartDelay = std::chrono::milliseconds{2500};
  Platform.submit("press", "a", makeJob({makeStep(3, 1000, 900)}));
  Platform.advance(Second);
  for (auto &[Id, Server] : Platform.Servers)
    Server.StartDelay = duration{0};
  Platform.advance(10 * Second);
  BOOST_CHECK(Platform.stateOf("a") == job_state::Completed);
  checkNoViolations(Platform);
}

// Starts without a response marked every backend server as unhealthy, so that
// none got work for seconds although half of the starts got a response.
BOOST_AUTO_TEST_CASE(lost_start_responses_do_not_idle_the_pool) {
  one_pool Platform{3};
  for (auto &[Id, Server] : Platform.Servers) {
    Server.StartDelay = std::chrono::milliseconds{2500};
    Server.DelaysAlternateStarts = true;
  }
  for (int I = 0; I < 6; ++I)
    Platform.submit("press", "a" + std::to_string(I),
                    makeJob({makeStep(3, 4000, 500)}));
  Platform.advance(3 * Second);
  for (int I = 0; I < 6; ++I)
    BOOST_CHECK(Platform.stateOf("a" + std::to_string(I)) ==
                job_state::Completed);
  Platform.advance(4 * Second);
  checkNoViolations(Platform);
}

// A retried start is refused if the first one has run and ended on the backend
// server. The task must not start again before the end of that run is known.
BOOST_AUTO_TEST_CASE(start_retried_after_the_run_ended_starts_nothing) {
  one_pool Platform{2};
  for (auto &[Id, Server] : Platform.Servers)
    Server.DropsStartResponses = true;
  Platform.submit("press", "a", makeJob({makeStep(2, 4000, 100)}));
  Platform.advance(3 * Second);
  BOOST_CHECK(Platform.stateOf("a") == job_state::Completed);
  BOOST_TEST(Platform.Starts == 2U);
  checkNoViolations(Platform);
}

// A failed run that was recorded, but not yet acknowledged to its backend
// server when the leader was lost, was counted again by the successor: a job
// failed after three of four attempts.
BOOST_AUTO_TEST_CASE(successor_counts_each_failure_once) {
  one_pool Platform;
  Platform.Duration = [](const task_id &, std::uint32_t) { return 60000.0; };
  Platform.submit("press", "a", makeJob({makeStep(1, 1000, 500)}));
  Platform.advance(Second);
  auto &State = Platform.Leader->state();
  auto &Server = *State.Servers.at("s0");
  const std::uint64_t Number =
      State.findJob("a")->Job.find({"a", 0, 0, 0})->LastRun;
  const listed_end End{9, {{"a", 0, 0, 0}, Number}, run_outcome::Failed, ""};
  applyRunEnd(State, Server, End);
  Platform.advance(Second);
  Platform.elect();
  auto &Successor = Platform.Leader->state();
  Platform.advance(Second / 2);
  applyRunEnd(Successor, *Successor.Servers.at("s0"), End);
  BOOST_TEST(Successor.findJob("a")->Job.find({"a", 0, 0, 0})->Failures == 1U);
}

// A successor read the full record of every ended job, which took most of the
// time without a leader. Records of ended jobs are compacted, and the successor
// must still know the state of these jobs.
BOOST_AUTO_TEST_CASE(ended_jobs_keep_only_their_state) {
  one_pool Platform;
  Platform.submit("press", "a", makeJob({makeStep(2, 1000, 300)}));
  Platform.advance(4 * Second);
  BOOST_TEST(!Platform.Stored.contains("ja"));
  const double Predicted =
      Platform.Leader->state().Durations.predictMs("press", 900);
  Platform.elect();
  BOOST_CHECK(Platform.stateOf("a") == job_state::Completed);
  BOOST_TEST(Platform.Leader->state().Durations.predictMs("press", 900) ==
             Predicted);
  const auto Again =
      Platform.submit("press", "a", makeJob({makeStep(2, 1, 1)}));
  BOOST_REQUIRE(Again);
  Platform.advance(Second);
  BOOST_TEST(Platform.Starts == 2U);
}

// A successor may find runs of a job that has ended and was compacted. Their
// size is unknown, so nothing may start beside them until they have stopped.
BOOST_AUTO_TEST_CASE(run_of_unknown_size_occupies_its_server) {
  one_pool Platform{1};
  auto &Server = Platform.Servers.at("s0");
  Server.IgnoresStops = true;
  simulated_run Run;
  Run.StartedAt = Platform.Now;
  Run.EndsAt = time_point::max();
  Server.Running[{{"gone", 0, 0, 0}, 1}] = Run;
  Platform.advance(Second / 5);
  Platform.submit("press", "a", makeJob({makeStep(1, 1000, 300)}));
  Platform.advance(Second / 5);
  BOOST_TEST(Platform.Starts == 0U);
  Server.IgnoresStops = false;
  Platform.advance(3 * Second);
  BOOST_CHECK(Platform.stateOf("a") == job_state::Completed);
}

// A new leader refused jobs for lack of capacity before it had contacted its
// backend servers.
BOOST_AUTO_TEST_CASE(new_leader_accepts_before_servers_are_discovered) {
  one_pool Platform;
  Platform.elect();
  const auto Reply =
      Platform.submit("press", "a", makeJob({makeStep(2, 1000, 300)}));
  BOOST_REQUIRE(Reply);
  BOOST_CHECK(Reply->Verdict == caller_reply::verdict::Ok);
}

// Tasks of a backend server that stops responding may restart elsewhere only
// after its lease has expired, because they may still be running there.
BOOST_AUTO_TEST_CASE(unresponsive_server_keeps_its_tasks_until_lease_expiry) {
  one_pool Platform{3};
  Platform.submit("press", "a", makeJob({makeStep(6, 8000, 3000)}));
  Platform.advance(Second / 2);
  Platform.Servers.at("s0").Unresponsive = true;
  Platform.advance(12 * Second);
  BOOST_CHECK(Platform.stateOf("a") == job_state::Completed);
  checkNoViolations(Platform);
}

// A new leader must adopt existing runs instead of starting the tasks again.
BOOST_AUTO_TEST_CASE(successor_adopts_runs) {
  one_pool Platform;
  Platform.submit("press", "a", makeJob({makeStep(6, 2000, 2000)}));
  Platform.advance(Second / 2);
  Platform.elect();
  Platform.advance(4 * Second);
  BOOST_CHECK(Platform.stateOf("a") == job_state::Completed);
  BOOST_TEST(Platform.Starts == 6U);
  checkNoViolations(Platform);
}

// A backend server that is lost together with the leader may still run tasks
// that the previous leader started, so the tasks of its pool must wait for the
// longest possible lease.
BOOST_AUTO_TEST_CASE(successor_waits_for_an_unresponsive_server) {
  one_pool Platform{3};
  Platform.submit("press", "a", makeJob({makeStep(6, 2000, 8000)}));
  Platform.advance(Second / 2);
  Platform.Servers.at("s1").Unresponsive = true;
  Platform.elect();
  Platform.advance(25 * Second);
  BOOST_CHECK(Platform.stateOf("a") == job_state::Completed);
  checkNoViolations(Platform);
}

// A job fails once a task has failed as often as its queue allows, and no
// further run is started.
BOOST_AUTO_TEST_CASE(job_fails_after_its_attempt_limit) {
  one_pool Platform;
  for (auto &[Id, Server] : Platform.Servers)
    Server.FailsAll = true;
  Platform.submit("press", "a", makeJob({makeStep(1, 1000, 100)}));
  Platform.advance(8 * Second);
  BOOST_CHECK(Platform.stateOf("a") == job_state::Failed);
  BOOST_TEST(Platform.Starts == 3U);
}

// Tasks of a cancelled job must be stopped and must not start again.
BOOST_AUTO_TEST_CASE(cancel_stops_running_tasks) {
  one_pool Platform;
  Platform.submit("press", "a", makeJob({makeLongRunningStep(4, 1)}));
  Platform.advance(Second);
  Platform.Leader->cancel("a", [](const caller_reply &) {});
  Platform.advance(Second);
  const auto Started = Platform.Starts;
  Platform.advance(3 * Second);
  for (const auto &[Id, Server] : Platform.Servers)
    BOOST_TEST(Server.Running.empty());
  BOOST_TEST(Platform.Starts == Started);
}

// A long-running task must restart on another backend server when its own
// crashes.
BOOST_AUTO_TEST_CASE(long_running_task_is_restarted_after_a_crash) {
  one_pool Platform{5};
  Platform.submit("press", "a", makeJob({makeLongRunningStep(4, 1)}));
  Platform.advance(Second);
  std::string CrashedServer;
  for (const auto &[Id, Server] : Platform.Servers) {
    if (!Server.Running.empty())
      CrashedServer = Id;
  }
  Platform.crash(CrashedServer);
  Platform.advance(8 * Second);
  for (std::uint32_t I = 0; I < 4; ++I)
    BOOST_TEST(Platform.countRunning({"a", 0, 0, I}) == 1U);
  checkNoViolations(Platform);
}

BOOST_AUTO_TEST_SUITE_END()

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
