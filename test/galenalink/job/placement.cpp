#include "galenalink/job/placement.hpp"
#include "galenalink/job/duration_estimator.hpp"
#include "simulated_platform.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::test;

namespace {

constexpr time_point Now{std::chrono::seconds{100}};

server makeServer(const std::string &Id, const std::string &Rack) {
  server Server;
  Server.Entry.Id = Id;
  Server.Entry.Capacity = {32000, 100000, 0};
  Server.Entry.Labels = {"a", Rack};
  Server.Registered = true;
  Server.Recorded = true;
  Server.Synced = true;
  return Server;
}

placement_request requestFor(const step_spec &Step) {
  placement_request Request;
  Request.Step = &Step;
  Request.Task = {"job", 0, 0, 9};
  return Request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(placement_of_tasks)

// A draining, unrecorded or quarantined backend server must get no new work.
BOOST_AUTO_TEST_CASE(unavailable_servers_accept_no_work) {
  server Server = makeServer("s", "r");
  BOOST_TEST(acceptsWork(Server, Now));
  Server.Entry.Draining = true;
  BOOST_TEST(!acceptsWork(Server, Now));
  Server.Entry.Draining = false;
  Server.Recorded = false;
  BOOST_TEST(!acceptsWork(Server, Now));
  Server.Recorded = true;
  Server.Health.recordFault(Now);
  BOOST_TEST(!acceptsWork(Server, Now));
}

// A task must not be placed against its resources, label or limit per backend
// server; a best-effort task reserves no CPU.
BOOST_AUTO_TEST_CASE(placement_constraints_are_enforced) {
  server Server = makeServer("s", "r");
  step_spec Step = makeStep(1, 40000, 100);
  BOOST_TEST(!canRun(Server, requestFor(Step)));
  Step.BestEffort = true;
  BOOST_TEST(canRun(Server, requestFor(Step)));
  Step.Label = "b";
  BOOST_TEST(!canRun(Server, requestFor(Step)));
  Step = makeStep(2, 1000, 100);
  Step.MaxPerServer = 1;
  BOOST_TEST(canRun(Server, requestFor(Step)));
  Server.addRun({{"job", 0, 0, 1}, 1}, run{});
  BOOST_TEST(!canRun(Server, requestFor(Step)));
}

// Finite tasks must be packed to leave capacity for large ones, and prefer the
// rack of their data.
BOOST_AUTO_TEST_CASE(finite_tasks_are_packed_near_their_data) {
  server Empty = makeServer("e", "r1");
  server Used = makeServer("u", "r2");
  run Run;
  Run.Size = {8000, 0, 0};
  Used.addRun({{"other", 0, 0, 0}, 1}, Run);
  step_spec Step = makeStep(1, 1000, 100);
  BOOST_TEST(chooseServer({&Empty, &Used}, requestFor(Step)) == &Used);
  Step.Rack = "r1";
  BOOST_TEST(chooseServer({&Empty, &Used}, requestFor(Step)) == &Empty);
}

// Best-effort tasks raise the latency of latency-sensitive tasks and must be
// placed elsewhere.
BOOST_AUTO_TEST_CASE(best_effort_tasks_avoid_latency_sensitive_tasks) {
  server WithLatencyTarget = makeServer("s", "r");
  run Run;
  Run.TargetMs = 50;
  WithLatencyTarget.addRun({{"other", 0, 0, 0}, 1}, Run);
  server NearlyFull = makeServer("f", "r");
  run Large;
  Large.Size = {31000, 0, 0};
  NearlyFull.addRun({{"other", 0, 0, 1}, 1}, Large);
  step_spec Step = makeStep(1, 1000, 0);
  Step.BestEffort = true;
  Step.LongRunning = true;
  BOOST_TEST(chooseServer({&WithLatencyTarget, &NearlyFull},
                          requestFor(Step)) == &NearlyFull);
}

// Long-running tasks of one step must not share a VM or a rack while others are
// available.
BOOST_AUTO_TEST_CASE(long_running_tasks_of_a_step_are_spread) {
  server First = makeServer("a", "r1");
  server SameRack = makeServer("b", "r1");
  server OtherRack = makeServer("c", "r2");
  run Run;
  Run.LongRunning = true;
  First.addRun({{"job", 0, 0, 1}, 1}, Run);
  step_spec Step = makeStep(3, 1000, 0);
  Step.LongRunning = true;
  BOOST_TEST(chooseServer({&First, &SameRack, &OtherRack}, requestFor(Step)) ==
             &OtherRack);
}

// Guards against long-running tasks of several jobs occupying nearly every VM,
// so that no pool could lend a VM to the pool with peak demand.
BOOST_AUTO_TEST_CASE(long_running_tasks_of_several_jobs_are_packed) {
  server Host = makeServer("a", "r1");
  server Empty = makeServer("b", "r2");
  run Run;
  Run.Size = {4000, 0, 0};
  Run.LongRunning = true;
  Host.addRun({{"other", 0, 0, 0}, 1}, Run);
  step_spec Step = makeStep(1, 1000, 0);
  Step.LongRunning = true;
  BOOST_TEST(chooseServer({&Empty, &Host}, requestFor(Step)) == &Host);
}

// A slow backend server must be chosen last.
BOOST_AUTO_TEST_CASE(slow_servers_are_chosen_last) {
  server Slow = makeServer("s", "r");
  server Normal = makeServer("t", "r");
  for (int I = 0; I < 8; ++I)
    Slow.Health.recordCompletion(6);
  const step_spec Step = makeStep(1, 1000, 100);
  BOOST_TEST(chooseServer({&Slow, &Normal}, requestFor(Step)) == &Normal);
}

// A gang must start all of its tasks or none.
BOOST_AUTO_TEST_CASE(gang_starts_all_tasks_or_none) {
  simulated_platform Platform;
  Platform.addServer("s0", "press");
  Platform.elect();
  Platform.advance(std::chrono::seconds{1});
  job_spec Spec;
  Spec.Steps.push_back(makeStep(3, 12000, 300));
  Spec.Steps[0].Gang = true;
  Platform.submit("press", "a", Spec);
  BOOST_TEST(Platform.Starts == 0U);
  Platform.addServer("s1", "press");
  Platform.advance(std::chrono::milliseconds{400});
  BOOST_TEST(Platform.Starts == 3U);
}

// A backend server that responds to no order must be quarantined, one that
// responds to half of them must not.
BOOST_AUTO_TEST_CASE(unresponsive_server_is_quarantined) {
  server_health Unresponsive;
  server_health Lossy;
  for (int I = 0; I < 40; ++I) {
    Unresponsive.recordTimeout(Now);
    Lossy.recordTimeout(Now);
    Lossy.recordResponse();
  }
  BOOST_TEST(!Unresponsive.isAvailable(Now));
  BOOST_TEST(Lossy.isAvailable(Now));
}

// Repeated failures of one task must not quarantine a backend server; first
// failures of several tasks must.
BOOST_AUTO_TEST_CASE(faulty_job_does_not_quarantine_server) {
  server_health Health;
  for (int I = 0; I < 10; ++I)
    Health.recordFailure(Now, false);
  BOOST_TEST(Health.isAvailable(Now));
  for (int I = 0; I < 3; ++I)
    Health.recordFailure(Now, true);
  BOOST_TEST(!Health.isAvailable(Now));
  BOOST_TEST(Health.isAvailable(Now + std::chrono::seconds{1}));
}

// Wrong declared durations must be corrected by the observed ones.
BOOST_AUTO_TEST_CASE(estimates_follow_observed_durations) {
  duration_estimator Durations;
  BOOST_TEST(Durations.predictMs("q", 500) == 500);
  for (int I = 0; I < 50; ++I)
    Durations.addSample("q", 500, 1000);
  BOOST_TEST(Durations.predictMs("q", 500) > 900);
  BOOST_TEST(Durations.predictMs("q", 500) < 1100);
}

BOOST_AUTO_TEST_SUITE_END()
