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
  Server.Usable = true;
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

// A draining or unrecorded backend server must get no new work.
BOOST_AUTO_TEST_CASE(only_sound_servers_accept_work) {
  server Server = makeServer("s", "r");
  BOOST_TEST(acceptsWork(Server, Now));
  Server.Entry.Draining = true;
  BOOST_TEST(!acceptsWork(Server, Now));
  Server.Entry.Draining = false;
  Server.Recorded = false;
  BOOST_TEST(!acceptsWork(Server, Now));
  Server.Recorded = true;
  Server.Health.refused(Now);
  BOOST_TEST(!acceptsWork(Server, Now));
}

// Room, label and spread bind; a task that fills takes no processor time.
BOOST_AUTO_TEST_CASE(constraints_bind) {
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

// Short tasks must leave room for large ones, and go near their data.
BOOST_AUTO_TEST_CASE(short_tasks_are_packed_near_their_data) {
  server Empty = makeServer("e", "r1");
  server Used = makeServer("u", "r2");
  run Run;
  Run.Size = {8000, 0, 0};
  Used.addRun({{"other", 0, 0, 0}, 1}, Run);
  step_spec Step = makeStep(1, 1000, 100);
  BOOST_TEST(choose({&Empty, &Used}, requestFor(Step)) == &Used);
  Step.Rack = "r1";
  BOOST_TEST(choose({&Empty, &Used}, requestFor(Step)) == &Empty);
}

// Tasks that fill disturb tasks that serve, and must go elsewhere.
BOOST_AUTO_TEST_CASE(tasks_that_fill_avoid_tasks_that_serve) {
  server Serving = makeServer("s", "r");
  run Run;
  Run.TargetMs = 50;
  Serving.addRun({{"other", 0, 0, 0}, 1}, Run);
  server Full = makeServer("f", "r");
  run Large;
  Large.Size = {31000, 0, 0};
  Full.addRun({{"other", 0, 0, 1}, 1}, Large);
  step_spec Step = makeStep(1, 1000, 0);
  Step.BestEffort = true;
  Step.LongRunning = true;
  BOOST_TEST(choose({&Serving, &Full}, requestFor(Step)) == &Full);
}

// Tasks of one step that last must not share a VM or a rack with each other
// while there are more.
BOOST_AUTO_TEST_CASE(lasting_tasks_of_a_step_stand_apart) {
  server First = makeServer("a", "r1");
  server SameRack = makeServer("b", "r1");
  server OtherRack = makeServer("c", "r2");
  run Run;
  Run.LongRunning = true;
  First.addRun({{"job", 0, 0, 1}, 1}, Run);
  step_spec Step = makeStep(3, 1000, 0);
  Step.LongRunning = true;
  BOOST_TEST(choose({&First, &SameRack, &OtherRack}, requestFor(Step)) ==
             &OtherRack);
}

// Lasting tasks of several jobs stood on nearly every VM, so that no pool could
// lend one to the pool whose turn it was.
BOOST_AUTO_TEST_CASE(lasting_tasks_of_several_jobs_stand_together) {
  server Host = makeServer("a", "r1");
  server Empty = makeServer("b", "r2");
  run Run;
  Run.Size = {4000, 0, 0};
  Run.LongRunning = true;
  Host.addRun({{"other", 0, 0, 0}, 1}, Run);
  step_spec Step = makeStep(1, 1000, 0);
  Step.LongRunning = true;
  BOOST_TEST(choose({&Empty, &Host}, requestFor(Step)) == &Host);
}

// A slow backend server must come last.
BOOST_AUTO_TEST_CASE(slow_servers_come_last) {
  server Slow = makeServer("s", "r");
  server Sound = makeServer("t", "r");
  for (int I = 0; I < 8; ++I)
    Slow.Health.done(6);
  const step_spec Step = makeStep(1, 1000, 100);
  BOOST_TEST(choose({&Slow, &Sound}, requestFor(Step)) == &Sound);
}

// A gang must start as a whole or not at all.
BOOST_AUTO_TEST_CASE(gang_starts_as_a_whole) {
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

// A backend server that answers no order must be avoided, one that answers half
// of them must not.
BOOST_AUTO_TEST_CASE(server_that_answers_nothing_is_avoided) {
  server_health Mute;
  server_health Lossy;
  for (int I = 0; I < 40; ++I) {
    Mute.unanswered(Now);
    Lossy.unanswered(Now);
    Lossy.answered();
  }
  BOOST_TEST(!Mute.usable(Now));
  BOOST_TEST(Lossy.usable(Now));
}

// One failure of a job that can never be done must not mark a server; failures
// of many jobs must.
BOOST_AUTO_TEST_CASE(servers_are_told_from_jobs) {
  server_health Health;
  for (int I = 0; I < 10; ++I)
    Health.failed(Now, false);
  BOOST_TEST(Health.usable(Now));
  for (int I = 0; I < 3; ++I)
    Health.failed(Now, true);
  BOOST_TEST(!Health.usable(Now));
  BOOST_TEST(Health.usable(Now + std::chrono::seconds{1}));
}

// Declared durations that are off must be corrected by what was seen.
BOOST_AUTO_TEST_CASE(durations_are_learnt) {
  duration_estimator Times;
  BOOST_TEST(Times.predictMs("q", 500) == 500);
  for (int I = 0; I < 50; ++I)
    Times.ended("q", 500, 1000);
  BOOST_TEST(Times.predictMs("q", 500) > 900);
  BOOST_TEST(Times.predictMs("q", 500) < 1100);
}

BOOST_AUTO_TEST_SUITE_END()
