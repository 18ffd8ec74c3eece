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

job_spec jobOf(const std::vector<step_spec> &Steps) {
  job_spec Spec;
  Spec.Spec = "text";
  Spec.Steps = Steps;
  return Spec;
}

step_spec lasting(const std::uint32_t Count,
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

/** @brief Lets time pass.
 * @return Fewest tasks of the first step of job `a` that ran at any time. */
std::size_t leastRunning(simulated_platform &Platform,
                         const std::uint32_t Count, const duration Time) {
  std::size_t Least = Count;
  for (const time_point End = Platform.Now + Time; Platform.Now < End;) {
    Platform.advance(20 * Millisecond);
    std::size_t Running = 0;
    for (std::uint32_t Index = 0; Index < Count; ++Index)
      Running += Platform.running({"a", 0, 0, Index});
    Least = std::min(Least, Running);
  }
  return Least;
}

void checkNothingBroken(const simulated_platform &Platform) {
  for (const auto &Each : Platform.Broken)
    BOOST_ERROR(Each);
}

} // namespace

BOOST_AUTO_TEST_SUITE(leader_duties)

// A step must not start before the steps that it depends on are done.
BOOST_AUTO_TEST_CASE(runs_steps_in_order) {
  one_pool Platform;
  auto Second2 = makeStep(3, 1000, 200);
  Second2.DependsOn = {0};
  const auto Reply =
      Platform.submit("press", "a", jobOf({makeStep(5, 1000, 300), Second2}));
  BOOST_REQUIRE(Reply);
  BOOST_TEST(static_cast<int>(Reply->Verdict) ==
             static_cast<int>(caller_reply::verdict::Ok));
  Platform.advance(std::chrono::milliseconds{200});
  BOOST_TEST(Platform.running({"a", 0, 0, 0}) == 1U);
  BOOST_TEST(Platform.running({"a", 0, 1, 0}) == 0U);
  Platform.advance(Second);
  BOOST_CHECK(Platform.stateOf("a") == job_state::Completed);
  checkNothingBroken(Platform);
}

// A job is answered as accepted only once the store has it.
BOOST_AUTO_TEST_CASE(accepts_only_what_is_stored) {
  one_pool Platform;
  Platform.StoreDown = true;
  const auto Reply =
      Platform.submit("press", "a", jobOf({makeStep(1, 1000, 300)}));
  BOOST_CHECK(!Reply);
  Platform.advance(Second);
  BOOST_TEST(Platform.Starts == 0U);
  const auto Later =
      Platform.submit("press", "b", jobOf({makeStep(1, 1000, 300)}));
  BOOST_REQUIRE(Later);
  BOOST_CHECK(Later->Verdict == caller_reply::verdict::Refused);
}

// A start without an answer that is carried out seconds later must not make
// the task run twice.
BOOST_AUTO_TEST_CASE(late_start_does_not_run_twice) {
  one_pool Platform{3};
  for (auto &[Id, Server] : Platform.Servers)
    Server.LateBy = std::chrono::milliseconds{2500};
  Platform.submit("press", "a", jobOf({makeStep(3, 1000, 900)}));
  Platform.advance(Second);
  for (auto &[Id, Server] : Platform.Servers)
    Server.LateBy = duration{0};
  Platform.advance(10 * Second);
  BOOST_CHECK(Platform.stateOf("a") == job_state::Completed);
  checkNothingBroken(Platform);
}

// Orders without an answer made every backend server look bad, so that none
// took work for seconds while half of the orders were answered.
BOOST_AUTO_TEST_CASE(lost_orders_do_not_idle_the_pool) {
  one_pool Platform{3};
  for (auto &[Id, Server] : Platform.Servers) {
    Server.LateBy = std::chrono::milliseconds{2500};
    Server.LatePartly = true;
  }
  for (int I = 0; I < 6; ++I)
    Platform.submit("press", "a" + std::to_string(I),
                    jobOf({makeStep(3, 4000, 500)}));
  Platform.advance(3 * Second);
  for (int I = 0; I < 6; ++I)
    BOOST_CHECK(Platform.stateOf("a" + std::to_string(I)) ==
                job_state::Completed);
  Platform.advance(4 * Second);
  checkNothingBroken(Platform);
}

// A repeated start is refused where the first one has run and ended; the task
// must not start again before that end is known.
BOOST_AUTO_TEST_CASE(repeated_start_after_the_end_starts_nothing) {
  one_pool Platform{2};
  for (auto &[Id, Server] : Platform.Servers)
    Server.LosesAnswers = true;
  Platform.submit("press", "a", jobOf({makeStep(2, 4000, 100)}));
  Platform.advance(3 * Second);
  BOOST_CHECK(Platform.stateOf("a") == job_state::Completed);
  BOOST_TEST(Platform.Starts == 2U);
  checkNothingBroken(Platform);
}

// An end that was recorded, but not told as seen when the leader was lost, was
// counted again by its successor: a job failed after three of four attempts.
BOOST_AUTO_TEST_CASE(successor_counts_each_failure_once) {
  one_pool Platform;
  Platform.Duration = [](const task_id &, std::uint32_t) { return 60000.0; };
  Platform.submit("press", "a", jobOf({makeStep(1, 1000, 500)}));
  Platform.advance(Second);
  auto &State = Platform.Leader->state();
  auto &Server = *State.Servers.at("s0");
  const std::uint64_t Number =
      State.findJob("a")->Job.find({"a", 0, 0, 0})->LastRun;
  const listed_end End{9, {{"a", 0, 0, 0}, Number}, run_outcome::Failed, ""};
  applyEnd(State, Server, End);
  Platform.advance(Second);
  Platform.elect();
  auto &Successor = Platform.Leader->state();
  Platform.advance(Second / 2);
  applyEnd(Successor, *Successor.Servers.at("s0"), End);
  BOOST_TEST(Successor.findJob("a")->Job.find({"a", 0, 0, 0})->Failures == 1U);
}

// A successor read the whole of every job that had ended, which took most of
// the time without a leader; the state must still be known to it.
BOOST_AUTO_TEST_CASE(ended_jobs_leave_their_state_only) {
  one_pool Platform;
  Platform.submit("press", "a", jobOf({makeStep(2, 1000, 300)}));
  Platform.advance(4 * Second);
  BOOST_TEST(!Platform.Stored.contains("ja"));
  const double Learnt = Platform.Leader->state().Times.predictMs("press", 900);
  Platform.elect();
  BOOST_CHECK(Platform.stateOf("a") == job_state::Completed);
  BOOST_TEST(Platform.Leader->state().Times.predictMs("press", 900) == Learnt);
  const auto Again = Platform.submit("press", "a", jobOf({makeStep(2, 1, 1)}));
  BOOST_REQUIRE(Again);
  Platform.advance(Second);
  BOOST_TEST(Platform.Starts == 2U);
}

// A successor finds runs of a job that had ended and was compacted; while they
// are being stopped they take room of unknown size.
BOOST_AUTO_TEST_CASE(run_of_unknown_size_fills_its_server) {
  one_pool Platform{1};
  auto &Server = Platform.Servers.at("s0");
  Server.IgnoresStops = true;
  simulated_run Run;
  Run.StartedAt = Platform.Now;
  Run.EndsAt = time_point::max();
  Server.Running[{{"gone", 0, 0, 0}, 1}] = Run;
  Platform.advance(Second / 5);
  Platform.submit("press", "a", jobOf({makeStep(1, 1000, 300)}));
  Platform.advance(Second / 5);
  BOOST_TEST(Platform.Starts == 0U);
  Server.IgnoresStops = false;
  Platform.advance(3 * Second);
  BOOST_CHECK(Platform.stateOf("a") == job_state::Completed);
}

// A new leader refused for want of room before it had heard of its backend
// servers.
BOOST_AUTO_TEST_CASE(new_leader_does_not_lack_room) {
  one_pool Platform;
  Platform.elect();
  const auto Reply =
      Platform.submit("press", "a", jobOf({makeStep(2, 1000, 300)}));
  BOOST_REQUIRE(Reply);
  BOOST_CHECK(Reply->Verdict == caller_reply::verdict::Ok);
}

// Tasks of a backend server that falls silent start elsewhere only after its
// lease has passed, since they may still run there.
BOOST_AUTO_TEST_CASE(silent_server_keeps_its_tasks_for_its_lease) {
  one_pool Platform{3};
  Platform.submit("press", "a", jobOf({makeStep(6, 8000, 3000)}));
  Platform.advance(Second / 2);
  Platform.Servers.at("s0").Silent = true;
  Platform.advance(12 * Second);
  BOOST_CHECK(Platform.stateOf("a") == job_state::Completed);
  checkNothingBroken(Platform);
}

// A new leader must take over what runs, and not start it again.
BOOST_AUTO_TEST_CASE(successor_adopts_runs) {
  one_pool Platform;
  Platform.submit("press", "a", jobOf({makeStep(6, 2000, 2000)}));
  Platform.advance(Second / 2);
  Platform.elect();
  Platform.advance(4 * Second);
  BOOST_CHECK(Platform.stateOf("a") == job_state::Completed);
  BOOST_TEST(Platform.Starts == 6U);
  checkNothingBroken(Platform);
}

// A backend server that is lost together with the leader may still run tasks
// of the leader before, so its pool's tasks wait for the longest lease.
BOOST_AUTO_TEST_CASE(successor_waits_for_a_server_that_does_not_answer) {
  one_pool Platform{3};
  Platform.submit("press", "a", jobOf({makeStep(6, 2000, 8000)}));
  Platform.advance(Second / 2);
  Platform.Servers.at("s1").Silent = true;
  Platform.elect();
  Platform.advance(25 * Second);
  BOOST_CHECK(Platform.stateOf("a") == job_state::Completed);
  checkNothingBroken(Platform);
}

// A job fails after as many failed runs of a task as its queue allows, and not
// one run more is started.
BOOST_AUTO_TEST_CASE(job_that_can_never_be_done_stops_at_its_limit) {
  one_pool Platform;
  for (auto &[Id, Server] : Platform.Servers)
    Server.FailsAll = true;
  Platform.submit("press", "a", jobOf({makeStep(1, 1000, 100)}));
  Platform.advance(8 * Second);
  BOOST_CHECK(Platform.stateOf("a") == job_state::Failed);
  BOOST_TEST(Platform.Starts == 3U);
}

// Cancelled tasks must be stopped, and nothing of the job may start again.
BOOST_AUTO_TEST_CASE(cancel_stops_what_runs) {
  one_pool Platform;
  Platform.submit("press", "a", jobOf({lasting(4, 1)}));
  Platform.advance(Second);
  Platform.Leader->cancel("a", [](const caller_reply &) {});
  Platform.advance(Second);
  const auto Started = Platform.Starts;
  Platform.advance(3 * Second);
  for (const auto &[Id, Server] : Platform.Servers)
    BOOST_TEST(Server.Running.empty());
  BOOST_TEST(Platform.Starts == Started);
}

// A task that lasts is restarted on another backend server when its own
// crashes.
BOOST_AUTO_TEST_CASE(lasting_task_is_restarted_after_a_crash) {
  one_pool Platform{5};
  Platform.submit("press", "a", jobOf({lasting(4, 1)}));
  Platform.advance(Second);
  std::string Victim;
  for (const auto &[Id, Server] : Platform.Servers) {
    if (!Server.Running.empty())
      Victim = Id;
  }
  Platform.crash(Victim);
  Platform.advance(8 * Second);
  for (std::uint32_t I = 0; I < 4; ++I)
    BOOST_TEST(Platform.running({"a", 0, 0, I}) == 1U);
  checkNothingBroken(Platform);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(waves)

// Two maintenances in one look ended two tasks of a step that may miss one,
// because the first one's end was not counted until its answer came.
BOOST_AUTO_TEST_CASE(one_look_ends_no_more_tasks_than_the_budget) {
  one_pool Platform{4};
  Platform.submit("press", "a", jobOf({lasting(4, 1)}));
  Platform.advance(5 * Second);
  wave Wave{1, {}, 8, 4};
  for (const auto &Each : Platform.Vms)
    Wave.Vms.push_back(Each.Name);
  Platform.Leader->setWaves({{1, Wave}});
  BOOST_TEST(leastRunning(Platform, 4, 12000 * Millisecond) >= 3U);
  BOOST_TEST(Platform.VmOrders.size() == 4U);
}

// A backend server that runs two tasks of one step ended both at once.
BOOST_AUTO_TEST_CASE(two_tasks_of_a_step_leave_one_after_the_other) {
  one_pool Platform{3};
  auto Step = lasting(6, 1);
  Step.MaxPerServer = 2;
  Platform.submit("press", "a", jobOf({Step}));
  Platform.advance(5 * Second);
  wave Wave{1, {"vm-s0"}, 20, 1};
  Platform.Leader->setWaves({{1, Wave}});
  BOOST_TEST(leastRunning(Platform, 6, 6000 * Millisecond) >= 5U);
}

// A task that had just been moved off one VM was ended on the next one while it
// started up, together with another task of its step.
BOOST_AUTO_TEST_CASE(task_that_starts_up_counts_as_missing) {
  one_pool Platform{3};
  Platform.submit("press", "a", jobOf({lasting(3, 1)}));
  Platform.advance(5 * Second);
  leader &State = Platform.Leader->state();
  BOOST_REQUIRE(State.Servers.at("s0")->Runs.size() == 1U);
  BOOST_TEST(budgetsAllow(State, *State.Servers.at("s0")));
  auto Moved = State.Servers.at("s1")->Runs.extract(
      State.Servers.at("s1")->Runs.begin());
  Moved.mapped().Percent = 0;
  State.Servers.at("s0")->Runs.insert(std::move(Moved));
  BOOST_TEST(!budgetsAllow(State, *State.Servers.at("s0")));
}

// A backend server that is cut off from the store loses its registration but
// runs on; its VM was taken for empty and two tasks of one step were ended.
BOOST_AUTO_TEST_CASE(vm_of_an_unregistered_server_is_not_empty) {
  one_pool Platform{3};
  auto Step = lasting(6, 1);
  Step.MaxPerServer = 2;
  Platform.submit("press", "a", jobOf({Step}));
  Platform.advance(5 * Second);
  Platform.Servers.at("s0").Unregistered = true;
  Platform.advance(Second / 2);
  Platform.Leader->setWaves({{1, wave{1, {"vm-s0"}, 20, 1}}});
  BOOST_TEST(leastRunning(Platform, 6, 6000 * Millisecond) >= 5U);
}

// A successor asked again for a maintenance that was done before; what ran on
// the VM went on and was started a second time elsewhere.
BOOST_AUTO_TEST_CASE(repeated_maintenance_ends_nothing) {
  one_pool Platform{4};
  Platform.advance(4 * Second);
  wave Wave{1, {"vm-s0", "vm-s1"}, 12, 1};
  Platform.Leader->setWaves({{1, Wave}});
  Platform.advance(14 * Second);
  std::erase_if(Platform.Stored,
                [](const auto &Each) { return Each.first.front() == 'w'; });
  Platform.elect();
  Platform.Leader->setWaves({{1, Wave}});
  Platform.submit("press", "a", jobOf({lasting(3, 1)}));
  Platform.advance(12 * Second);
  BOOST_TEST(Platform.VmOrders.size() == 2U);
  BOOST_TEST(Platform.Starts == 3U);
  checkNothingBroken(Platform);
}

// A VM got new work between the order for its maintenance and the answer.
BOOST_AUTO_TEST_CASE(vm_that_is_ordered_away_gets_no_new_work) {
  one_pool Platform{2};
  Platform.advance(4 * Second);
  Platform.Leader->setWaves({{1, wave{1, {"vm-s0"}, 4, 1}}});
  for (int I = 0; I < 60 && Platform.Leader->state().PendingVmOrders.empty();
       ++I)
    Platform.advance(std::chrono::milliseconds{20});
  const auto &Servers = Platform.Leader->state().Servers;
  BOOST_TEST((!Servers.contains("s0") || Servers.at("s0")->Reserved ||
              !Servers.at("s0")->Usable));
}

// A successor had to wait 3 s before it could order any VM; only the VMs that
// the leader before has just ordered must wait.
BOOST_AUTO_TEST_CASE(successor_orders_other_vms_at_once) {
  one_pool Platform{4};
  Platform.Leader->setWaves({{1, wave{1, {"vm-s0"}, 4, 2}}});
  Platform.advance(Second);
  BOOST_REQUIRE(Platform.VmOrders.size() == 1U);
  Platform.elect();
  leader &State = Platform.Leader->state();
  BOOST_TEST(heldBack(State, "vm-s0"));
  Platform.Leader->setWaves({{1, wave{1, {"vm-s0", "vm-s1"}, 4, 2}}});
  Platform.advance(Second);
  BOOST_REQUIRE(Platform.VmOrders.size() == 2U);
  BOOST_TEST(Platform.VmOrders[1].Vm == "vm-s1");
  Platform.advance(3 * Second);
  BOOST_TEST(!heldBack(State, "vm-s0"));
}

// Maintenance begins on no more VMs than the wave's cap at once.
BOOST_AUTO_TEST_CASE(cap_holds_and_the_wave_ends_in_time) {
  one_pool Platform{8};
  Platform.advance(4 * Second);
  wave Wave{1, {}, 20, 2};
  for (const auto &Each : Platform.Vms)
    Wave.Vms.push_back(Each.Name);
  Platform.Leader->setWaves({{1, Wave}});
  std::ptrdiff_t Most = 0;
  for (int I = 0; I < 1000; ++I) {
    Platform.advance(std::chrono::milliseconds{20});
    Most = std::max(Most, std::ranges::count(
                              Platform.Vms, vm_state::Maintenance, &vm::State));
  }
  BOOST_TEST(Most <= 2);
  BOOST_TEST(Platform.VmOrders.size() == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
