#include "simulated_platform.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink;
using namespace galenalink::job;
using namespace galenalink::test;

namespace {

constexpr duration Second = std::chrono::seconds{1};
constexpr duration Millisecond = std::chrono::milliseconds{1};
constexpr wall_ms ClockAheadMs = 2000;
constexpr std::uint32_t TaskMs = 1000;

/** @brief Two backend servers under a leader whose wall clock is ahead. */
struct leader_with_clock_ahead {
  simulated_platform Platform;

  leader_with_clock_ahead() {
    for (const char *Id : {"s0", "s1"})
      Platform.addServer(Id, "press");
    Platform.ClockOffsetMs = ClockAheadMs;
    Platform.elect();
    Platform.advance(Second);
  }

  void submit(const std::uint32_t Times, const wall_ms DueInMs,
              const std::int64_t Cpu = 1000) {
    job_spec Spec;
    Spec.Spec = "text";
    Spec.Steps = {makeStep(2, Cpu, TaskMs)};
    Spec.Times = Times;
    Spec.StartAtMs = Times == 0 ? 0 : Platform.wallNow() + DueInMs;
    Spec.IntervalMs = Times == 0 ? 0 : 60000;
    BOOST_REQUIRE(Platform.submit("press", "a", Spec));
  }

  /** @brief Elects a leader whose clock is right. */
  void electSuccessor() {
    Platform.ClockOffsetMs = 0;
    Platform.elect();
  }

  void checkCompletedOnce() {
    BOOST_CHECK(Platform.stateOf("a") == job_state::Completed);
    BOOST_TEST(Platform.Starts == 2U);
    for (const auto &Each : Platform.Violations)
      BOOST_ERROR(Each);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(clock_differences)

// A successor whose clock was behind the time of acceptance in the store took
// the job for not due, and never looked at it again.
BOOST_AUTO_TEST_CASE(job_accepted_by_a_clock_ahead_runs_under_the_successor) {
  leader_with_clock_ahead Fleet;
  for (auto &[Id, Server] : Fleet.Platform.Servers)
    Server.RefusesStarts = true;
  Fleet.submit(0, 0);
  Fleet.electSuccessor();
  for (auto &[Id, Server] : Fleet.Platform.Servers)
    Server.RefusesStarts = false;
  Fleet.Platform.advance(Second + 2 * TaskMs * Millisecond);
  Fleet.checkCompletedOnce();
}

// The ends of such a job belonged to no task of the successor, which discarded
// them, so that a later leader started the tasks again.
BOOST_AUTO_TEST_CASE(ends_of_a_job_accepted_by_a_clock_ahead_count) {
  leader_with_clock_ahead Fleet;
  Fleet.submit(0, 0);
  Fleet.Platform.StoreDown = true;
  Fleet.Platform.advance(TaskMs * Millisecond);
  Fleet.electSuccessor();
  Fleet.Platform.StoreDown = false;
  Fleet.Platform.advance(Second);
  Fleet.electSuccessor();
  Fleet.Platform.advance(4 * Second);
  Fleet.checkCompletedOnce();
}

// The runs of an occurrence that was due only by the predecessor's clock were
// stopped as not needed, and started again when it was due.
BOOST_AUTO_TEST_CASE(runs_of_an_occurrence_opened_by_a_clock_ahead_are_kept) {
  leader_with_clock_ahead Fleet;
  Fleet.submit(1, ClockAheadMs);
  Fleet.Platform.advance(TaskMs / 2 * Millisecond);
  BOOST_REQUIRE(Fleet.Platform.Starts == 2U);
  Fleet.electSuccessor();
  Fleet.Platform.advance(5 * Second);
  Fleet.checkCompletedOnce();
}

// The ends of such an occurrence had no effect, and its tasks ran again.
BOOST_AUTO_TEST_CASE(ends_of_an_occurrence_opened_by_a_clock_ahead_count) {
  leader_with_clock_ahead Fleet;
  Fleet.submit(1, ClockAheadMs);
  Fleet.Platform.StoreDown = true;
  Fleet.Platform.advance(TaskMs * Millisecond);
  Fleet.electSuccessor();
  Fleet.Platform.StoreDown = false;
  Fleet.Platform.advance(5 * Second);
  Fleet.checkCompletedOnce();
}

// A run of one task made the other tasks of its occurrence start before their
// time by the successor's clock.
BOOST_AUTO_TEST_CASE(occurrence_opened_by_a_run_waits_for_its_due_time) {
  leader_with_clock_ahead Fleet;
  auto &Refusing = Fleet.Platform.Servers.at("s1");
  Refusing.RefusesStarts = true;
  // Only one task fits on each backend server.
  constexpr std::int64_t Cpu = 20000;
  const time_point DueAt = Fleet.Platform.Now + ClockAheadMs * Millisecond;
  Fleet.submit(1, ClockAheadMs, Cpu);
  Fleet.Platform.advance(TaskMs / 2 * Millisecond);
  BOOST_REQUIRE(Fleet.Platform.Starts == 1U);
  Fleet.electSuccessor();
  Refusing.RefusesStarts = false;
  Fleet.Platform.advance(Second);
  BOOST_REQUIRE(Fleet.Platform.Now < DueAt);
  BOOST_TEST(Fleet.Platform.Starts == 1U);
  Fleet.Platform.advance(4 * Second);
  Fleet.checkCompletedOnce();
}

BOOST_AUTO_TEST_SUITE_END()
