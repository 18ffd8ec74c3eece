#include "galenalink/job/run_ends.hpp"
#include "one_pool.hpp"

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::test;

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
  Platform.Leader->cancel({"a"}, [](const caller_reply &) {});
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
